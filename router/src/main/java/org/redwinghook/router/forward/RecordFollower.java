package org.redwinghook.router.forward;

import java.util.List;
import java.util.function.BooleanSupplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows one topic of the platform's store: a snapshot first, then reads that wait for the next record. */
public final class RecordFollower {

    /** Longest wait of a read, in milliseconds; a silent connection shows a second after it. */
    private static final long WAIT_MILLIS = 1_000;

    /** Pause between reads, in milliseconds: endpoints report often, and one read can bring several reports. */
    private static final long PAUSE_MILLIS = 150;

    /**
     * Pause between reads while other routers wait at the store and pass its records on, in milliseconds; what they miss
     * is repaired within seconds.
     */
    private static final long LOOK_MILLIS = 10_000;

    /** Interval of looks whether this router must wait at the store itself, in milliseconds. */
    private static final long TURN_MILLIS = 200;

    /** First pause after a failed read, in milliseconds; it doubles up to {@link #LONGEST_RETRY_MILLIS}. */
    private static final long RETRY_MILLIS = 100;

    /** Longest pause after failed reads, in milliseconds. */
    private static final long LONGEST_RETRY_MILLIS = 400;

    /** Time after a failed read for which removals may come from the store's outage, in milliseconds. */
    private static final long AWAY_MILLIS = 4_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(RecordFollower.class);

    private final Vertx vertx;
    private final RecordStore store;
    private final ForwardingState state;
    private final RecordTopic topic;
    private final MonotonicClock clock;
    private final Relay relay;
    private final BooleanSupplier waitsAtStore;
    private long failedAtMillis = Long.MIN_VALUE / 2;
    private int failures;
    private boolean snapshotNeeded = true;
    private boolean stopped;

    /**
     * Creates a follower.
     *
     * @param vertx runs it
     * @param store the store
     * @param state receives the records
     * @param topic the topic
     * @param clock tells the time
     * @param relay receives records that are new
     * @param waitsAtStore whether this router waits at the store, rather than others for it
     */
    public RecordFollower(
            Vertx vertx,
            RecordStore store,
            ForwardingState state,
            RecordTopic topic,
            MonotonicClock clock,
            Relay relay,
            BooleanSupplier waitsAtStore) {
        this.vertx = vertx;
        this.store = store;
        this.state = state;
        this.topic = topic;
        this.clock = clock;
        this.relay = relay;
        this.waitsAtStore = waitsAtStore;
    }

    /** Passes on what a follower has read. */
    @FunctionalInterface
    public interface Relay {

        /**
         * Passes records on.
         *
         * @param topic their topic
         * @param records records that are new
         * @param mayHaveLapsed whether removals may come only from an outage of the store
         */
        void relay(RecordTopic topic, List<VersionedRecord> records, boolean mayHaveLapsed);
    }

    /** Starts to follow the topic. */
    public void start() {
        next();
    }

    /** Ends after the current read. */
    public void stop() {
        stopped = true;
    }

    /**
     * Whether entries may have been removed only because the store was away.
     *
     * @return true for some time after a failed read
     */
    public boolean storeWasAway() {
        return clock.millis() - failedAtMillis < AWAY_MILLIS;
    }

    /**
     * Whether the last read succeeded.
     *
     * @return false after a failure
     */
    public boolean reads() {
        return failures == 0;
    }

    private void next() {
        if (stopped) {
            return;
        }
        if (snapshotNeeded) {
            store.snapshot(topic).onSuccess(this::snapshotRead).onFailure(this::failed);
            return;
        }
        boolean waits = waitsAtStore.getAsBoolean();
        store.read(topic, state.replica(topic).nextOffset(), waits ? WAIT_MILLIS : 0)
                .onSuccess(this::read)
                .onFailure(this::failed);
    }

    private void snapshotRead(RecordPage page) {
        snapshotNeeded = false;
        succeeded();
        relay.relay(topic, state.applySnapshot(topic, page.records(), page.end(), storeWasAway()), storeWasAway());
        next();
    }

    private void read(RecordPage page) {
        succeeded();
        relay.relay(topic, state.apply(topic, page.records(), storeWasAway()), storeWasAway());
        state.replica(topic).advanceTo(page.end());
        long lookAtMillis = clock.millis() + LOOK_MILLIS;
        vertx.setTimer(PAUSE_MILLIS, ignored -> nextInTurn(lookAtMillis));
    }

    private void nextInTurn(long lookAtMillis) {
        if (waitsAtStore.getAsBoolean() || clock.millis() >= lookAtMillis) {
            next();
            return;
        }
        vertx.setTimer(TURN_MILLIS, ignored -> nextInTurn(lookAtMillis));
    }

    private void succeeded() {
        if (failures > 0) {
            LOGGER.info("store regained topic={} failures={}", topic, failures);
        }
        failures = 0;
    }

    private void failed(Throwable failure) {
        if (failure instanceof RecordsExpiredException) {
            LOGGER.info(
                    "records expired topic={} position={}",
                    topic,
                    state.replica(topic).nextOffset());
            snapshotNeeded = true;
            next();
            return;
        }
        if (failures == 0) {
            LOGGER.warn("store lost topic={} cause={}", topic, failure.toString());
        }
        failedAtMillis = clock.millis();
        long pause = Math.min(LONGEST_RETRY_MILLIS, RETRY_MILLIS << Math.min(failures, 4));
        failures++;
        vertx.setTimer(pause, ignored -> next());
    }
}
