package org.redwinghook.core.admission;

/** Decision on a request that was just offered. */
public enum AdmissionDecision {
    /** Runs now. */
    ADMITTED,
    /** Waits; a later call of {@link AdmissionController#admitWaiting} admits it. */
    QUEUED,
    /** Does not run. */
    REFUSED
}
