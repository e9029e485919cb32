package org.redwinghook.router.forward;

/** Why a request was refused without having run. */
public enum RefusalCause {
    /** The router knows no configuration or no endpoints yet. */
    NOT_READY(503),
    /** No endpoint may take the request. */
    NO_ENDPOINT(503),
    /** All endpoints that could be tried stated that they did not run it, or could not be reached. */
    ENDPOINTS_FULL(503),
    /** The time ran out before the request was sent to an endpoint. */
    NO_TIME(503);

    private final int status;

    RefusalCause(int status) {
        this.status = status;
    }

    /**
     * HTTP status of the refusal.
     *
     * @return a status that states that the request has not run
     */
    public int status() {
        return status;
    }
}
