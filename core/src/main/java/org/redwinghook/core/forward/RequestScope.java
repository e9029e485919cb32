package org.redwinghook.core.forward;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * What determines the endpoints to which a request may go.
 *
 * @param requestId identifier of the request
 * @param service service of the request
 * @param route name of its route
 * @param allowedRegions regions that may serve the request, null for all
 * @param triedEndpoints identifiers of the endpoints that may not be tried again
 * @param requiredVersion software version of the endpoints that may serve the request, null for all
 */
public record RequestScope(
        String requestId,
        String service,
        String route,
        @Nullable Set<String> allowedRegions,
        Set<String> triedEndpoints,
        @Nullable String requiredVersion) {}
