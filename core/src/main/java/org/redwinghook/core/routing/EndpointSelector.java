package org.redwinghook.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.IntUnaryOperator;

/**
 * Selects the endpoint with the lowest cost among two random candidates and, for a request with a prompt, the candidate
 * that its affinity prefers.
 */
public final class EndpointSelector {

    /** Number of endpoints in the router's region that can take work, below which other regions are used. */
    private static final int MINIMUM_REGIONAL_CANDIDATES = 2;

    /** Expected wait up to which an endpoint can take work: the target for the first token. */
    private static final long MAXIMUM_WAIT_MILLIS = 870;

    /** Cost of a fully utilised endpoint; of two endpoints without a queue, the less utilised one decodes faster. */
    private static final double FULL_UTILISATION_COST_MILLIS = 400;

    /** Prefill time that a cached prefix saves for each prompt token. */
    private static final double PREFILL_MILLIS_PER_TOKEN = 0.1;

    private final IntUnaryOperator randomBelow;

    /**
     * Creates a selector.
     *
     * @param randomBelow returns a random number from 0 (inclusive) to its argument (exclusive)
     */
    public EndpointSelector(IntUnaryOperator randomBelow) {
        this.randomBelow = randomBelow;
    }

    /**
     * Selects an endpoint.
     *
     * @param endpoints endpoints of the service that take new work
     * @param query the request
     * @return the endpoint, empty if no candidate is left
     */
    public Optional<EndpointView> select(List<EndpointView> endpoints, RoutingQuery query) {
        List<EndpointView> candidates = candidates(endpoints, query);
        if (query.pinned()) {
            return candidates.stream().max(byAffinity(query));
        }
        List<EndpointView> reachable = spillOver(candidates);
        Optional<EndpointView> affine =
                query.promptTokens() > 0 ? reachable.stream().max(byAffinity(query)) : Optional.empty();
        List<EndpointView> sampled = new ArrayList<>(twoAtRandom(reachable));
        affine.filter(endpoint -> !sampled.contains(endpoint)).ifPresent(sampled::add);
        return sampled.stream()
                .min(Comparator.comparingDouble(endpoint -> cost(endpoint)
                        - (affine.isPresent() && affine.get().equals(endpoint) ? savedMillis(query) : 0)));
    }

    private static List<EndpointView> candidates(List<EndpointView> endpoints, RoutingQuery query) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.load().accepting())
                .filter(endpoint -> !query.excludedVms().contains(endpoint.vm()))
                .toList();
    }

    private static List<EndpointView> spillOver(List<EndpointView> candidates) {
        List<EndpointView> regional =
                candidates.stream().filter(EndpointView::sameRegion).toList();
        long available = regional.stream().filter(EndpointSelector::canTakeWork).count();
        return available >= MINIMUM_REGIONAL_CANDIDATES ? regional : candidates;
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

    private static boolean canTakeWork(EndpointView endpoint) {
        return endpoint.load().expectedWaitMillis() <= MAXIMUM_WAIT_MILLIS && utilisation(endpoint) < 1;
    }

    private static double cost(EndpointView endpoint) {
        double utilisation = Math.max(utilisation(endpoint), endpoint.load().memoryShare());
        return endpoint.load().expectedWaitMillis() + FULL_UTILISATION_COST_MILLIS * utilisation;
    }

    private static double savedMillis(RoutingQuery query) {
        return PREFILL_MILLIS_PER_TOKEN * query.promptTokens();
    }

    private static Comparator<EndpointView> byAffinity(RoutingQuery query) {
        return Comparator.comparingLong(endpoint -> RendezvousHash.score(query.affinityHash(), endpoint.vm()));
    }

    private static double utilisation(EndpointView endpoint) {
        int requests = Math.max(
                endpoint.outstanding(),
                endpoint.load().running() + endpoint.load().queued());
        return (double) requests / Math.max(1, endpoint.load().concurrencyLimit());
    }
}
