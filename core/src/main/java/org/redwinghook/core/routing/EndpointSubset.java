package org.redwinghook.core.routing;

import java.util.Comparator;
import java.util.List;

/** The endpoints of one service and region that a router keeps connections to. */
public final class EndpointSubset {

    /** Number of endpoints of each service in the router's own region. */
    public static final int SIZE = 8;

    /** Number of endpoints of each service in another region, for requests that the router's own region cannot take. */
    public static final int REMOTE_SIZE = 2;

    private EndpointSubset() {}

    /**
     * Chooses a subset by rendezvous hashing. An endpoint that leaves changes only one member of a subset, and each
     * endpoint is in about the same number of subsets.
     *
     * @param router name of the router
     * @param endpoints VMs of the service's endpoints in one region
     * @param size maximum number of endpoints
     * @return at most that many of them, in the order of their scores
     */
    public static List<String> choose(String router, List<String> endpoints, int size) {
        long key = RendezvousHash.hash(router);
        return endpoints.stream()
                .sorted(Comparator.comparingLong((String vm) -> RendezvousHash.score(key, vm))
                        .reversed()
                        .thenComparing(Comparator.naturalOrder()))
                .limit(size)
                .toList();
    }
}
