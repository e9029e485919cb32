package org.redwinghook.core.dispatch;

/** What becomes of a request that left the queue. */
public enum DispatchOutcome {
    /** An endpoint has capacity. */
    SENT,
    /** No endpoint has capacity according to the estimates, which may be wrong; the request has waited for long. */
    SENT_OVERDUE,
    /** No endpoint may take the request. */
    NO_ENDPOINT,
    /** The request cannot be completed before its deadline any more. */
    UNSERVABLE
}
