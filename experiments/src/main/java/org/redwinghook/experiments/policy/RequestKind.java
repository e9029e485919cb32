package org.redwinghook.experiments.policy;

/** Kinds of requests, each with the time within which it must start. */
enum RequestKind {
    /** A long generation. */
    DRAFT(60_000),
    /** A short interactive generation. */
    QUICK(5_000),
    /** A call to a plain service. */
    LOOKUP(2_000);

    private final long timeoutMillis;

    RequestKind(long timeoutMillis) {
        this.timeoutMillis = timeoutMillis;
    }

    long timeoutMillis() {
        return timeoutMillis;
    }
}
