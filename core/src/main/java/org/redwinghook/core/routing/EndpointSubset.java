package org.redwinghook.core.routing;

import java.util.Comparator;
import java.util.List;

/** The endpoints of one service and region that a router keeps connections to. */
public final class EndpointSubset {

    /** Endpoints for each service in the router's own region. */
    public static final int SIZE = 8;

    /** Endpoints for each service in another region, for requests that the own region cannot take. */
    public static final int REMOTE_SIZE = 2;

    private EndpointSubset() {}

    /**
     * Chooses a subset. An endpoint that leaves changes one place only, and each endpoint is in about as many subsets
     * as any other.
     *
     * @param router name of the router
     * @param endpoints VMs of the service's endpoints in one region
     * @param size largest number of endpoints wanted
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
