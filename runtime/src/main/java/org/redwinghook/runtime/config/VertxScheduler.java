package org.redwinghook.runtime.config;

import io.vertx.core.Vertx;

/** Scheduler with the timers of Vert.x. Its clock is set from the wall clock only once, so that it never goes back. */
public final class VertxScheduler implements Scheduler {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Vertx vertx;
    private final long startMillis = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();

    /**
     * Creates a scheduler.
     *
     * @param vertx Vert.x instance that runs the timers
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
