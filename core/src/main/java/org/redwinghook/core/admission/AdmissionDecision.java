package org.redwinghook.core.admission;

/** What happens with a request that was just offered. */
public enum AdmissionDecision {
    /** Runs now. */
    ADMITTED,
    /** Waits; a later call of {@link AdmissionController#admitWaiting} admits it. */
    QUEUED,
    /** Is not run. */
    REFUSED
}
