package org.redwinghook.router.forward;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.SnapshotSchedule;
import org.redwinghook.core.replica.StoreRole;
import org.redwinghook.core.replica.StoreTrust;
import org.redwinghook.core.replica.VersionedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows one topic of the platform's store: reads a snapshot, then long-polls for new records. */
public final class RecordFollower {

    /** Interval of checks whether this router's role has changed, in milliseconds. */
    private static final long ROLE_CHECK_INTERVAL_MILLIS = 200;

    /** Time after a failed read during which removals may result from the store's outage, in milliseconds. */
    private static final long OUTAGE_EFFECT_MILLIS = 4_000;

    /** Time since the last read after which a follower takes a snapshot in place of all records since then, in milliseconds. */
    private static final long LONG_BACKLOG_MILLIS = 5_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(RecordFollower.class);

    private final Vertx vertx;
    private final RecordStore store;
    private final ForwardingState state;
    private final RecordTopic topic;
    private final MonotonicClock clock;
    private final Relay relay;
    private final StoreReading reading;
    private final StoreTrust trust = new StoreTrust();
    private long lastFailureAtMillis = Long.MIN_VALUE / 2;
    private long lastSuccessAtMillis = Long.MIN_VALUE / 2;
    private long lastAdvanceAtMillis = Long.MIN_VALUE / 2;
    private int failures;
    private int staleAnswers;
    private long lastExpiredPosition = -1;
    private boolean snapshotNeeded = true;
    private boolean hasSnapshot;
    private boolean hasExpired;
    private boolean isReading;
    private boolean isSnapshotDelayed;
    private long reads;
    private boolean stopped;

    /**
     * Creates a follower.
     *
     * @param vertx event loop of the follower
     * @param store the store
     * @param state receives the records
     * @param topic the topic
     * @param clock monotonic clock
     * @param relay receives the new records
     * @param reading part that this router takes in reading the store
     */
    public RecordFollower(
            Vertx vertx,
            RecordStore store,
            ForwardingState state,
            RecordTopic topic,
            MonotonicClock clock,
            Relay relay,
            StoreReading reading) {
        this.vertx = vertx;
        this.store = store;
        this.state = state;
        this.topic = topic;
        this.clock = clock;
        this.relay = relay;
        this.reading = reading;
    }

    /**
     * Part that a router takes in reading the store.
     *
     * @param role the part at present
     * @param usualRole the part while all connected routers can read the store
     * @param routerCount number of routers
     * @param share position of the router among all routers, from 0 to 1; a new one for each snapshot
     */
    public record StoreReading(
            Supplier<StoreRole> role, Supplier<StoreRole> usualRole, IntSupplier routerCount, DoubleSupplier share) {}

    /** Relays the records that a follower has read. */
    @FunctionalInterface
    public interface Relay {

        /**
         * Relays records to other routers.
         *
         * @param topic their topic
         * @param records the new records
         * @param mayHaveLapsed whether removed entries may have lapsed only because the store was unavailable
         */
        void relay(RecordTopic topic, List<VersionedRecord> records, boolean mayHaveLapsed);
    }

    /** Starts to follow the topic. */
    public void start() {
        state.onEra(ignored -> handleEra());
        readNext();
    }

    /** Stops after the current read. */
    public void stop() {
        stopped = true;
    }

    /**
     * Whether entries may have been removed only because the store was unavailable.
     *
     * @return true for some time after a failed read
     */
    public boolean storeWasUnavailable() {
        return clock.millis() - lastFailureAtMillis < OUTAGE_EFFECT_MILLIS;
    }

    /**
     * Whether the store can be read, judged by the last read. While the snapshot of an era is delayed, only the other topics
     * can tell; otherwise all routers would report for seconds that they cannot, and each would take the part of a reader.
     *
     * @return false after a failure
     */
    public boolean canReadStore() {
        return failures == 0 || isSnapshotDelayed;
    }

    /**
     * Trust in the records that were read.
     *
     * @return the trust, updated with each read
     */
    public StoreTrust trust() {
        return trust;
    }

    /**
     * Whether the topic has been read since the start.
     *
     * @return false before the first snapshot
     */
    boolean hasRead() {
        return lastSuccessAtMillis > Long.MIN_VALUE / 2;
    }

    /**
     * Time of the last read that succeeded.
     *
     * @return monotonic time in milliseconds, long ago if there was none
     */
    long lastSuccessAtMillis() {
        return lastSuccessAtMillis;
    }

    /** Reads a snapshot, since the positions in the log of the era before mean nothing in the new one. */
    private void handleEra() {
        if (hasSnapshot) {
            // Entries may also have lapsed while the store was away.
            lastFailureAtMillis = clock.millis();
            trust.recordExpiry(lastFailureAtMillis);
        }
        boolean isSnapshotUnderWay = snapshotNeeded && isReading;
        snapshotNeeded = true;
        staleAnswers = 0;
        if (isSnapshotUnderWay) {
            return;
        }
        long delayMillis = snapshotDelayMillis();
        if (delayMillis > 0) {
            delaySnapshot(delayMillis);
        } else {
            readNext();
        }
    }

    private long snapshotDelayMillis() {
        if (!hasSnapshot || isReader()) {
            return 0;
        }
        Map<RecordTopic, Integer> keys = new EnumMap<>(RecordTopic.class);
        for (RecordTopic other : RecordTopic.values()) {
            keys.put(other, state.replica(other).allRecords().size());
        }
        return SnapshotSchedule.delayMillis(
                topic, keys, reading.routerCount().getAsInt(), reading.share().getAsDouble());
    }

    /** While the store fails, no router reports that it can read it, so that each has the role of a reader. */
    private boolean isReader() {
        return reading.usualRole().get() != StoreRole.FOLLOWER
                || (failures == 0 && reading.role().get() != StoreRole.FOLLOWER);
    }

    private void delaySnapshot(long delayMillis) {
        // The answer to a read that is under way is ignored.
        reads++;
        isReading = false;
        isSnapshotDelayed = true;
        runAfter(delayMillis, () -> {
            if (state.replica(topic).isComplete()) {
                // Another router has sent its whole log meanwhile.
                snapshotNeeded = false;
            }
            readNext();
        });
    }

    /** Begins a read in place of one that is under way, or of the pause before the next one. */
    private void readNext() {
        if (stopped) {
            return;
        }
        long readNumber = ++reads;
        isReading = true;
        isSnapshotDelayed = false;
        long era = state.era();
        trust.recordReadStart(snapshotNeeded ? 0 : reading.role().get().waitMillis(), clock.millis());
        Future<RecordPage> page = snapshotNeeded
                ? store.snapshot(topic)
                : store.read(
                        topic,
                        state.replica(topic).nextOffset(),
                        reading.role().get().waitMillis());
        page.onSuccess(records -> {
                    if (readNumber == reads) {
                        isReading = false;
                        handlePage(records, era);
                    }
                })
                .onFailure(failure -> {
                    if (readNumber == reads) {
                        isReading = false;
                        handleFailure(failure);
                    }
                });
    }

    private void handlePage(RecordPage page, long eraBefore) {
        // The log without a named era is the one that was followed when the read began.
        long era = page.era() == 0 ? eraBefore : page.era();
        long readNumber = reads;
        state.beginEra(era);
        boolean isStale = era < state.era() || (!snapshotNeeded && era != eraBefore);
        if (reads != readNumber) {
            return;
        }
        if (isStale) {
            recordSuccess();
            readAgain();
            return;
        }
        if (snapshotNeeded) {
            handleSnapshot(page, era);
        } else {
            handleRecords(page, era);
        }
    }

    private void handleSnapshot(RecordPage page, long era) {
        recordSuccess();
        boolean endsBeforePosition = page.endOffset() < state.replica(topic).nextOffset();
        if (hasExpired && endsBeforePosition && era > 0) {
            // A log loses its end only when an era begins, so the answer is older than what was read before.
            readAgain();
            return;
        }
        snapshotNeeded = false;
        hasSnapshot = true;
        staleAnswers = 0;
        if (hasExpired && endsBeforePosition) {
            LOGGER.info(
                    "log began anew without an era topic={} position={} endOffset={}",
                    topic,
                    state.replica(topic).nextOffset(),
                    page.endOffset());
            state.restartLog(topic);
        }
        hasExpired = false;
        try {
            List<VersionedRecord> changed =
                    state.applySnapshot(topic, era, page.records(), page.endOffset(), storeWasUnavailable());
            lastAdvanceAtMillis = clock.millis();
            // Followers read snapshots too when an era begins; if each relayed its own, the links would saturate.
            if (reading.role().get() != StoreRole.FOLLOWER) {
                relay.relay(topic, changed, storeWasUnavailable());
            }
        } finally {
            readAfterPause();
        }
    }

    private void handleRecords(RecordPage page, long era) {
        recordSuccess();
        staleAnswers = 0;
        try {
            merge(page, era);
        } finally {
            readAfterPause();
        }
    }

    private void merge(RecordPage page, long era) {
        state.replica(topic).observeRead(era, page.records());
        try {
            relay.relay(topic, state.apply(topic, era, page.records(), storeWasUnavailable()), storeWasUnavailable());
        } finally {
            state.replica(topic).advanceTo(page.endOffset());
            lastAdvanceAtMillis = clock.millis();
        }
    }

    /**
     * Reads all records up to the end of the topic, beside the read that is under way, whose answer may be older than this
     * call.
     *
     * @return completes when the records have been merged; fails if the store does not answer or the topic has to be read anew
     */
    Future<Void> readToEnd() {
        if (snapshotNeeded) {
            return Future.failedFuture("the topic " + topic + " is read anew");
        }
        long era = state.era();
        boolean isFarBehind = reading.role().get() == StoreRole.FOLLOWER
                && clock.millis() - lastAdvanceAtMillis > LONG_BACKLOG_MILLIS;
        Future<RecordPage> read = isFarBehind
                ? store.snapshot(topic)
                : store.read(topic, state.replica(topic).nextOffset(), 0);
        return read.compose(page -> {
            mergeBeside(page, era, isFarBehind);
            return page.reachesEnd() ? Future.succeededFuture() : readToEnd();
        });
    }

    /** Merges a page that was read beside the usual reads, which alone handle what a new era or a lost end requires. */
    private void mergeBeside(RecordPage page, long eraBefore, boolean isSnapshot) {
        long era = page.era() == 0 ? eraBefore : page.era();
        state.beginEra(era);
        if (snapshotNeeded || era != eraBefore || state.era() != eraBefore) {
            throw new IllegalStateException("the topic " + topic + " was read in another era than " + eraBefore);
        }
        if (!isSnapshot) {
            merge(page, era);
            return;
        }
        if (page.endOffset() < state.replica(topic).nextOffset()) {
            throw new IllegalStateException("the snapshot of " + topic + " is older than the records that are known");
        }
        state.applySnapshot(topic, era, page.records(), page.endOffset(), storeWasUnavailable());
        lastAdvanceAtMillis = clock.millis();
    }

    /** Repeats a read that was answered with what is older than the records that are known. */
    private void readAgain() {
        readAfter(SnapshotSchedule.retryMillis(
                staleAnswers++, reading.routerCount().getAsInt()));
    }

    private void readAfter(long pauseMillis) {
        runAfter(pauseMillis, this::readNext);
    }

    private void readAfterPause() {
        long sinceMillis = clock.millis();
        runAfter(StoreRole.FIRST_READER.pauseMillis(), () -> readWhenDue(sinceMillis));
    }

    private void readWhenDue(long sinceMillis) {
        long remainingMillis = sinceMillis + reading.role().get().pauseMillis() - clock.millis();
        if (remainingMillis <= 0) {
            readNext();
            return;
        }
        runAfter(Math.min(remainingMillis, ROLE_CHECK_INTERVAL_MILLIS), () -> readWhenDue(sinceMillis));
    }

    /** Runs an action after a pause unless another read begins first. */
    private void runAfter(long pauseMillis, Runnable action) {
        long readNumber = reads;
        vertx.setTimer(pauseMillis, ignored -> {
            if (readNumber == reads) {
                action.run();
            }
        });
    }

    private void recordSuccess() {
        if (failures > 0) {
            LOGGER.info("store regained topic={} failures={}", topic, failures);
        }
        failures = 0;
        lastSuccessAtMillis = clock.millis();
        trust.recordSuccess(clock.millis());
    }

    private void handleFailure(Throwable failure) {
        if (failure instanceof RecordsExpiredException expiry) {
            logExpiry(expiry);
            long readNumber = reads;
            state.beginEra(expiry.era());
            if (reads == readNumber) {
                hasExpired = true;
                snapshotNeeded = true;
                trust.recordExpiry(clock.millis());
                readNext();
            }
            return;
        }
        if (failures == 0) {
            LOGGER.warn("store lost topic={} cause={}", topic, failure.toString());
        }
        lastFailureAtMillis = clock.millis();
        trust.recordFailure(lastFailureAtMillis);
        readAfter(SnapshotSchedule.retryMillis(failures++, reading.routerCount().getAsInt()));
    }

    /** Logs what tells a trimmed history, whose first retained offset has passed the position, from a lost end. */
    private void logExpiry(RecordsExpiredException expiry) {
        long position = state.replica(topic).nextOffset();
        LOGGER.info(
                "records expired topic={} position={} previous={} firstRetained={} end={} era={}",
                topic,
                position,
                lastExpiredPosition,
                expiry.firstOffset(),
                expiry.endOffset(),
                expiry.era());
        lastExpiredPosition = position;
    }
}
