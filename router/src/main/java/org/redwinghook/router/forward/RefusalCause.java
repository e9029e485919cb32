package org.redwinghook.router.forward;

/** Cause for which a request was refused without having run. */
public enum RefusalCause {
    /** The router has no configuration or no endpoints yet. */
    NOT_READY(503),
    /** No endpoint may take the request. */
    NO_ENDPOINT(503),
    /** All endpoints that were tried reported that they did not run the request, or could not be reached. */
    ENDPOINTS_FULL(503),
    /** The deadline passed before the request was sent to an endpoint. */
    NO_TIME(503),
    /** The router stops before the request could end; other routers take it. */
    STOPPING(503),
    /** A part of the prompt crashes endpoints. */
    PROMPT_PART_QUARANTINED(503);

    private final int status;

    RefusalCause(int status) {
        this.status = status;
    }

    /**
     * HTTP status of the refusal.
     *
     * @return the status; the body of the response states that the request has not run
     */
    public int status() {
        return status;
    }
}
