package org.redwinghook.router.forward;

import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.rollout.RolloutOrder;
import org.redwinghook.core.rollout.RolloutState;
import org.redwinghook.core.rollout.RolloutStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the status of one roll-out. Each write is conditional on the end of the topic that was read before, so that two
 * conflicting writes cannot both succeed, whether their responses arrive or not. Before each write the newest status is
 * read and the decision repeated. Times are milliseconds of a monotonic clock.
 */
final class RolloutStatusWriter {

    /** Time after which the next router writes a status if it has not heard that the one before it has. */
    private static final long RANK_DELAY_MILLIS = 700;

    /** Longest time for which a router leaves a status to others, in milliseconds. */
    private static final long MAXIMUM_RANK_DELAY_MILLIS = 2_100;

    /** Pause after a failed call, in milliseconds; it doubles up to {@link #MAXIMUM_RETRY_MILLIS}. */
    private static final long RETRY_MILLIS = 100;

    private static final long MAXIMUM_RETRY_MILLIS = 800;

    /** Pause before the status is read again while the store has one of a newer order, in milliseconds. */
    private static final long SUPERSEDED_MILLIS = 2_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(RolloutStatusWriter.class);

    private final RolloutStore store;
    private final RolloutOrder order;
    private final MonotonicClock clock;
    private final Supplier<@Nullable RolloutState> wantedState;
    private final ObjLongConsumer<RolloutState> stateHandler;
    private final Consumer<String> unfinishedHandler;
    private @Nullable RolloutState lastWanted;
    private long wantedSinceMillis;
    private long firstOffset = Long.MAX_VALUE;
    private long era;
    private boolean hasRead;
    private boolean knowsEarlierRollouts;
    private long nextTryMillis;
    private int failures;
    private boolean isBusy;
    private boolean isStopped;

    /**
     * Creates a writer.
     *
     * @param store the store
     * @param order the order of the roll-out
     * @param clock monotonic clock
     * @param wantedState the status that the store has to have, null if it has it
     * @param stateHandler receives the state of this roll-out that the store has, and the era of the store
     * @param unfinishedHandler receives the version of an earlier roll-out that did not complete
     */
    RolloutStatusWriter(
            RolloutStore store,
            RolloutOrder order,
            MonotonicClock clock,
            Supplier<@Nullable RolloutState> wantedState,
            ObjLongConsumer<RolloutState> stateHandler,
            Consumer<String> unfinishedHandler) {
        this.store = store;
        this.order = order;
        this.clock = clock;
        this.wantedState = wantedState;
        this.stateHandler = stateHandler;
        this.unfinishedHandler = unfinishedHandler;
    }

    /** Stops to write, since another order has replaced this one. */
    void stop() {
        isStopped = true;
    }

    /**
     * Begins an era of the store, which gives offsets out again. Statuses of earlier roll-outs that were read before stay
     * known, since the copy may have older ones.
     *
     * @param newEra the era
     */
    void beginEra(long newEra) {
        era = newEra;
        firstOffset = Long.MAX_VALUE;
        knowsEarlierRollouts = hasRead;
    }

    /** Leaves the status to another router, which states that it has a newer order. */
    void yieldToNewerOrder() {
        nextTryMillis = Math.max(nextTryMillis, clock.millis() + SUPERSEDED_MILLIS);
    }

    /**
     * Begins to write the status if it is due; to be called several times a second.
     *
     * @param rank number of connected routers that write before this one
     */
    void advance(int rank) {
        RolloutState wanted = wantedState.get();
        long now = clock.millis();
        if (wanted != lastWanted) {
            lastWanted = wanted;
            wantedSinceMillis = now;
        }
        long delayMillis = Math.min(MAXIMUM_RANK_DELAY_MILLIS, rank * RANK_DELAY_MILLIS);
        if (wanted == null || isBusy || isStopped || now < Math.max(nextTryMillis, wantedSinceMillis + delayMillis)) {
            return;
        }
        isBusy = true;
        read();
    }

    private void read() {
        store.readStatus(order.service()).onSuccess(this::handlePage).onFailure(this::handleFailure);
    }

    private void handlePage(RolloutStatusPage page) {
        if (isStopped) {
            return;
        }
        if (page.era() < era) {
            pause(0);
            return;
        }
        hasRead = true;
        RolloutStatus status = page.status();
        if (status != null && status.to().equals(order.to())) {
            stateHandler.accept(status.state(), page.era());
        } else if (page.offset() > firstOffset) {
            LOGGER.info("rollout superseded service={} to={} offset={}", order.service(), order.to(), page.offset());
            pause(SUPERSEDED_MILLIS);
            return;
        } else if (status != null && status.state() != RolloutState.COMPLETE && !knowsEarlierRollouts) {
            unfinishedHandler.accept(status.to());
        }
        firstOffset = Math.min(firstOffset, page.offset());
        RolloutState wanted = wantedState.get();
        if (wanted == null) {
            pause(0);
            return;
        }
        append(wanted, page);
    }

    private void append(RolloutState wanted, RolloutStatusPage page) {
        LOGGER.info(
                "rollout status write service={} to={} state={} at={} era={}",
                order.service(),
                order.to(),
                wanted,
                page.endOffset(),
                page.era());
        store.appendStatus(order.service(), new RolloutStatus(wanted, order.to()), page)
                .onSuccess(isAppended -> handleAppend(wanted, page.era(), isAppended))
                .onFailure(this::handleFailure);
    }

    private void handleAppend(RolloutState wanted, long pageEra, boolean isAppended) {
        LOGGER.info(
                "rollout status {} service={} to={} state={}",
                isAppended ? "written" : "conflict",
                order.service(),
                order.to(),
                wanted);
        if (isStopped) {
            return;
        }
        if (!isAppended) {
            read();
            return;
        }
        pause(0);
        stateHandler.accept(wanted, pageEra);
    }

    private void handleFailure(Throwable failure) {
        LOGGER.warn(
                "rollout status failed service={} to={} failures={} cause={}",
                order.service(),
                order.to(),
                failures,
                failure.toString());
        long pauseMillis = Math.min(MAXIMUM_RETRY_MILLIS, RETRY_MILLIS << Math.min(failures, 4));
        failures++;
        isBusy = false;
        nextTryMillis = clock.millis() + pauseMillis;
    }

    private void pause(long millis) {
        failures = 0;
        isBusy = false;
        nextTryMillis = clock.millis() + millis;
    }
}
