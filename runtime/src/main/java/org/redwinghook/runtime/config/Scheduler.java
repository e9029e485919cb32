package org.redwinghook.runtime.config;

/** Time and timers, so that tests can run in virtual time. */
public interface Scheduler {

    /**
     * The time now. Never goes back.
     *
     * @return milliseconds since 1970
     */
    long nowMillis();

    /**
     * Runs a task once on the event loop of the process.
     *
     * @param delayMillis delay in milliseconds, at least 1
     * @param task the task
     */
    void schedule(long delayMillis, Runnable task);
}
