package org.redwinghook.core.routing;

import java.util.Set;

/**
 * A request that needs an endpoint.
 *
 * @param affinityHash hash that prefers one endpoint: of the prompt's prefix, or of an idempotency key's partition
 * @param pinned whether the preferred endpoint is used regardless of load
 * @param promptTokens prompt length in tokens; 0 for calls
 * @param excludedVms VMs that already refused the request
 */
public record RoutingQuery(long affinityHash, boolean pinned, int promptTokens, Set<String> excludedVms) {

    public RoutingQuery {
        excludedVms = Set.copyOf(excludedVms);
    }
}
