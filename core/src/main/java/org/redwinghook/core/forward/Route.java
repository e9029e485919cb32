package org.redwinghook.core.forward;

import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.routing.RendezvousHash;

/**
 * A rule that maps requests of one host and path prefix to services.
 *
 * @param name name of the route
 * @param host host to which the requests are addressed
 * @param pathPrefix prefix of the paths, with a slash at both ends
 * @param services services that receive the requests
 * @param kind kind of the requests, which decides whether they may run more than once
 * @param timeoutMillis maximum time until the response is complete
 * @param latencyObjectiveMillis target for the time until the response, or until the first event of a stream
 * @param gapObjectiveMillis target for the longest gap between the events of a stream; 0 if none is set
 * @param maximumAttempts maximum number of endpoints that one request may be sent to
 * @param priority priority; 0 is the highest
 * @param allowedRegions regions that may serve the requests, null for all
 * @param anonymous whether requests need no API key
 * @param resumable whether a broken stream may continue at another endpoint after the last event received
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        List<WeightedService> services,
        RequestKind kind,
        long timeoutMillis,
        long latencyObjectiveMillis,
        long gapObjectiveMillis,
        int maximumAttempts,
        int priority,
        @Nullable Set<String> allowedRegions,
        boolean anonymous,
        boolean resumable) {

    private static final double HASH_RANGE = 1L << 53;
    private static final int UNUSED_HASH_BITS = 11;

    public Route {
        services = List.copyOf(services);
        allowedRegions = allowedRegions == null ? null : Set.copyOf(allowedRegions);
    }

    /**
     * Whether a request that may have run may be sent to another endpoint.
     *
     * @return true if a second run is harmless
     */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /**
     * Selects the service for a request by weight. All routers select the same service for the same identifier.
     *
     * @param requestId identifier of the request
     * @return name of the service
     */
    public String selectService(String requestId) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double point = (RendezvousHash.hash(requestId) >>> UNUSED_HASH_BITS) / HASH_RANGE * total;
        for (WeightedService candidate : services) {
            point -= candidate.weight();
            if (point < 0) {
                return candidate.service();
            }
        }
        return services.get(services.size() - 1).service();
    }
}
