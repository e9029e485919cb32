package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Load of an endpoint, as observed by its sidecar.
 *
 * @param running requests running at the endpoint
 * @param queued requests waiting in the sidecar's queue
 * @param concurrencyLimit current limit on concurrent requests at the endpoint
 * @param memoryShare projected share of the engine's memory in use, 0 to 1
 * @param expectedWaitMillis expected queueing time of a new request
 * @param accepting whether the endpoint accepts new work
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointLoad(
        int running,
        int queued,
        int concurrencyLimit,
        double memoryShare,
        long expectedWaitMillis,
        boolean accepting) {}
