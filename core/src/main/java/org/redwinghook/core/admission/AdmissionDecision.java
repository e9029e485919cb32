package org.redwinghook.core.admission;

/** Decision on a request that was just offered. */
public enum AdmissionDecision {
    /** Runs now. */
    ADMITTED,
    /** Waits; a later call of {@link AdmissionController#admitWaiting} admits it. */
    QUEUED,
    /** Does not run, since the queue has no place for it. */
    QUEUE_FULL,
    /** Does not run, since the expected wait exceeds its timeout. */
    WAIT_TOO_LONG;

    /**
     * Whether the request is refused.
     *
     * @return true if it will not run
     */
    public boolean isRefusal() {
        return this == QUEUE_FULL || this == WAIT_TOO_LONG;
    }
}
