package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;

/**
 * What the router adds to a request that it sends to an endpoint.
 *
 * @param endpointId the only endpoint that may run the request
 * @param remainingMillis time that the caller still waits
 * @param customer customer of the request, null if it is anonymous
 * @param memoryCopy copy of the run's memory to go on from, null for a new run
 * @param lastEventId last event that the caller has, null for a new run
 */
public record EndpointRequestHead(
        String endpointId,
        long remainingMillis,
        @Nullable String customer,
        @Nullable MemoryCopy memoryCopy,
        @Nullable String lastEventId) {}
