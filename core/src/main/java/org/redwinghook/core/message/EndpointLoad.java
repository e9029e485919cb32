package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Load of an endpoint as its sidecar sees it.
 *
 * @param running requests at the endpoint
 * @param queued requests that the sidecar holds back
 * @param concurrencyLimit requests that the endpoint may run at once now
 * @param memoryShare projected share of the engine's memory in use, 0 to 1
 * @param expectedWaitMillis expected time in the queue of a new request
 * @param accepting whether new work is taken at all
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointLoad(
        int running,
        int queued,
        int concurrencyLimit,
        double memoryShare,
        long expectedWaitMillis,
        boolean accepting) {}
