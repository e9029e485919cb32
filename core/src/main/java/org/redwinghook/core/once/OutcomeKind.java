package org.redwinghook.core.once;

/** How an attempt ended. */
public enum OutcomeKind {
    /** The service answered. */
    DONE,
    /** Nothing was sent to the service; the key may be won again. */
    NOT_RUN,
    /** The request may have reached the service, and its answer was lost. */
    UNKNOWN
}
