package org.redwinghook.core.message;

/** Why a request was not run, with the HTTP status that the caller receives. */
public enum RefusalReason {
    /** The endpoint's queue is full or the wait would exceed the caller's timeout. */
    OVERLOADED(503, true),
    /** The endpoint, its VM or its data centre takes no new work. */
    LEAVING(503, true),
    /** The endpoint does not answer. */
    ENDPOINT_DOWN(503, true),
    /** The sidecar serves another service. */
    WRONG_SERVICE(503, true),
    /** The log service is needed for this request and cannot be reached. */
    LOG_UNAVAILABLE(503, false),
    /** No endpoint of the service takes work. */
    NO_ENDPOINT(503, false),
    /** The customer's limit is reached. */
    RATE_LIMITED(429, false),
    /** The idempotency key belongs to a different request. */
    KEY_REUSED(422, false),
    /** The generation to resume is not known here or belongs to another customer. */
    UNKNOWN_GENERATION(404, false);

    private final int status;
    private final boolean isRetryableElsewhere;

    RefusalReason(int status, boolean isRetryableElsewhere) {
        this.status = status;
        this.isRetryableElsewhere = isRetryableElsewhere;
    }

    /**
     * HTTP status that the caller receives.
     *
     * @return the status
     */
    public int status() {
        return status;
    }

    /**
     * Whether another endpoint of the service may accept the request.
     *
     * @return true if a retry at another endpoint makes sense
     */
    public boolean isRetryableElsewhere() {
        return isRetryableElsewhere;
    }
}
