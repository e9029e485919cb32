package org.redwinghook.core.forward;

import java.util.List;
import java.util.Set;

import org.redwinghook.core.routing.RendezvousHash;

/**
 * A rule that maps requests of one host and path prefix to services.
 *
 * @param name name of the route
 * @param host host that callers name
 * @param pathPrefix beginning of the paths, with a slash at both ends
 * @param services where the requests go
 * @param kind what may run more than once
 * @param timeoutMillis longest time until the final answer
 * @param latencyObjectiveMillis time within which an answer, or the first event of a stream, is on time
 * @param gapObjectiveMillis longest pause between the events of a stream that is on time; 0 if none is set
 * @param maximumAttempts most endpoints that one request may be sent to
 * @param priority rank, 0 for the most important
 * @param allowedRegions regions that may serve the requests; empty for all
 * @param anonymous whether requests need no key
 * @param resumable whether a stream may go on at another endpoint after its last event
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
        Set<String> allowedRegions,
        boolean anonymous,
        boolean resumable) {

    private static final double HASH_RANGE = 1L << 53;
    private static final int UNUSED_HASH_BITS = 11;

    public Route {
        services = List.copyOf(services);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /**
     * Whether a request that may have run may be sent to another endpoint.
     *
     * @return true if a second run does no harm
     */
    public boolean mayRunAgain() {
        return kind.mayRunAgain(resumable);
    }

    /**
     * Service for a request. All routers choose the same one.
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
