package org.redwinghook.runtime.config;

import io.vertx.core.Vertx;

/** Timers of Vert.x, and a clock that is set from the wall clock once, so that it never goes back. */
public final class VertxScheduler implements Scheduler {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /**
     * Creates a scheduler.
     *
     * @param vertx runs the timers
     */
    public VertxScheduler(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public long nowMillis() {
        return startMillis + (System.nanoTime() - startNanos) / NANOS_PER_MILLI;
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        vertx.setTimer(delayMillis, ignored -> task.run());
    }
}
