package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;

/**
 * Values that the router adds to a request that it sends to an endpoint.
 *
 * @param endpointId the only endpoint that may run the request
 * @param remainingMillis time for which the caller still waits, in milliseconds
 * @param customer customer of the request, null if the request is anonymous
 * @param memoryCopy copy of the run's memory to continue from, null for a new run
 * @param lastEventId identifier of the last event that the caller has received, null for a new run
 */
public record EndpointRequestHead(
        String endpointId,
        long remainingMillis,
        @Nullable String customer,
        @Nullable MemoryCopy memoryCopy,
        @Nullable String lastEventId) {}
