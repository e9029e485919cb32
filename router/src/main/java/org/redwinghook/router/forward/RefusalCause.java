package org.redwinghook.router.forward;

/** Cause for which a request was refused without having run. */
public enum RefusalCause {
    /** The router has no configuration or no endpoints yet. */
    NOT_READY(503, "the router is not ready"),
    /** No endpoint may take the request. */
    NO_ENDPOINT(503, "no endpoint may take the request"),
    /** No endpoint of the software version at which the stream began may take the request any more. */
    VERSION_GONE(503, "no endpoint of the stream's software version is left"),
    /** Nothing shows at which software version the resumed stream began, and several may have begun it. */
    ORIGIN_UNKNOWN(503, "the software version of the resumed stream is not known"),
    /** All endpoints that were tried reported that they did not run the request, or could not be reached. */
    ENDPOINTS_FULL(503, "no endpoint took the request"),
    /** No endpoint will have capacity in time. */
    NO_CAPACITY(503, "no endpoint has capacity in time"),
    /** The configuration no longer has the route of a request that waited. */
    ROUTE_WITHDRAWN(404, "no route has this host and path"),
    /** The configuration no longer has the key of a request that waited. */
    KEY_WITHDRAWN(401, "the key is not known"),
    /** The deadline passed before the request was sent to an endpoint. */
    NO_TIME(503, "the time ran out"),
    /** The router stops before the request could end; other routers take it. */
    STOPPING(503, "the router stops"),
    /** The messages of all requests need too much memory, and those of this request most of it. */
    MEMORY_EXHAUSTED(503, "the messages of the request need too much memory"),
    /** A part of the prompt crashes endpoints. */
    PROMPT_PART_QUARANTINED(503, "a part of the prompt crashes endpoints");

    private final int status;
    private final String description;

    RefusalCause(int status, String description) {
        this.status = status;
        this.description = description;
    }

    /**
     * HTTP status of the refusal.
     *
     * @return the status; the body of the response states that the request has not run
     */
    public int status() {
        return status;
    }

    /**
     * Description for logs and for callers.
     *
     * @return the description
     */
    public String description() {
        return description;
    }
}
