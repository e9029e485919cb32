package org.redwinghook.runtime.config;

/** Clock and timers, which tests replace by virtual time. */
public interface Scheduler {

    /**
     * Returns the current time, which never goes back.
     *
     * @return milliseconds since 1970-01-01 UTC
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
