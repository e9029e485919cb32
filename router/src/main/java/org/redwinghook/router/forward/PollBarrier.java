package org.redwinghook.router.forward;

import io.vertx.core.Vertx;
import org.redwinghook.core.forward.LoopDelay;

/**
 * Delays actions of a late event loop until it has polled its connections once more, so that the end of a caller's
 * connection is known before work for the caller begins.
 */
final class PollBarrier {

    private final Vertx vertx;
    private final MonotonicClock clock;
    private LoopDelay delay;

    PollBarrier(Vertx vertx, MonotonicClock clock) {
        this.vertx = vertx;
        this.clock = clock;
        this.delay = new LoopDelay(clock.millis());
    }

    /** Starts to measure; the delay of the start itself concerns no caller. */
    void start() {
        delay = new LoopDelay(clock.millis());
        vertx.setPeriodic(LoopDelay.TICK_INTERVAL_MILLIS, ignored -> delay.recordTick(clock.millis()));
    }

    /**
     * Time for which an event that is handled now has waited on average.
     *
     * @return the time in milliseconds, 0 unless the loop is late
     */
    long averageWaitMillis() {
        return delay.averageWaitMillis(clock.millis());
    }

    /**
     * Runs an action, at once unless the loop is late.
     *
     * @param action the action
     */
    void run(Runnable action) {
        if (!delay.isLate(clock.millis())) {
            action.run();
            return;
        }
        // Timers that a task sets expire after the next poll; those set by a handler of the poll may expire before it.
        vertx.runOnContext(task -> vertx.setTimer(1, ignored -> action.run()));
    }
}
