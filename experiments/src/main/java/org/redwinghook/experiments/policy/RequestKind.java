package org.redwinghook.experiments.policy;

/** Kinds of requests with the time for which their callers wait for a start. */
enum RequestKind {
    /** A long generation. */
    DRAFT(60_000),
    /** A short generation that a person waits for. */
    QUICK(5_000),
    /** A call of a plain service. */
    LOOKUP(2_000);

    private final long timeoutMillis;

    RequestKind(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    long timeoutMillis() {
        return timeoutMillis;
    }
}
