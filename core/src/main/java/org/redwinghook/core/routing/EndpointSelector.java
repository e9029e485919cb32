package org.redwinghook.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

/** Selects an endpoint for a request from a router's views. */
public final class EndpointSelector {

    private final IntUnaryOperator randomBelow;

    /**
     * Creates a selector.
     *
     * @param randomBelow gives a random number from 0 to below its argument
     */
    public EndpointSelector(IntUnaryOperator randomBelow) {
        this.randomBelow = randomBelow;
    }

    /**
     * Selects an endpoint.
     *
     * @param endpoints endpoints of the service that take new work
     * @param query the request
     * @return the endpoint, empty if there is none left
     */
    public Optional<EndpointView> select(List<EndpointView> endpoints, RoutingQuery query) {
        List<EndpointView> candidates = new ArrayList<>();
        for (EndpointView endpoint : endpoints) {
            if (endpoint.load().accepting() && !query.excluded().contains(endpoint.vm())) {
                candidates.add(endpoint);
            }
        }
        if (query.pinned()) {
            return candidates.stream()
                    .max(Comparator.comparingLong(
                            endpoint -> RendezvousHash.score(query.affinityHash(), endpoint.vm())));
        }
        return twoAtRandom(candidates).stream().min(Comparator.comparingDouble(EndpointSelector::utilisation));
    }

    private List<EndpointView> twoAtRandom(List<EndpointView> candidates) {
        if (candidates.size() <= 2) {
            return candidates;
        }
        int first = randomBelow.applyAsInt(candidates.size());
        int second = randomBelow.applyAsInt(candidates.size() - 1);
        if (second >= first) {
            second++;
        }
        return List.of(candidates.get(first), candidates.get(second));
    }

    private static double utilisation(EndpointView endpoint) {
        int known = Math.max(
                endpoint.outstanding(),
                endpoint.load().running() + endpoint.load().queued());
        return (double) known / Math.max(1, endpoint.load().concurrencyLimit());
    }
}
