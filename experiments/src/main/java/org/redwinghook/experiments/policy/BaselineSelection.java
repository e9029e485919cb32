package org.redwinghook.experiments.policy;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.apache.commons.math3.random.RandomGenerator;
import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.core.routing.RoutingQuery;

/** Baseline selections, which choose among the endpoints of all regions. */
final class BaselineSelection {

    private BaselineSelection() {}

    static Selection roundRobin() {
        int[] lastIndex = {0};
        return (endpoints, query) -> {
            List<EndpointView> candidates = findCandidates(endpoints, query);
            lastIndex[0]++;
            return candidates.isEmpty()
                    ? Optional.empty()
                    : Optional.of(candidates.get(lastIndex[0] % candidates.size()));
        };
    }

    static Selection leastOutstanding(RandomGenerator random) {
        return (endpoints, query) ->
                selectLeastLoaded(findCandidates(endpoints, query), EndpointView::outstanding, random);
    }

    static Selection bestOfTwo(RandomGenerator random) {
        return (endpoints, query) -> {
            List<EndpointView> candidates = findCandidates(endpoints, query);
            if (candidates.size() > 2) {
                int first = random.nextInt(candidates.size());
                int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
                candidates = List.of(candidates.get(first), candidates.get(second));
            }
            return selectLeastLoaded(
                    candidates,
                    endpoint -> endpoint.load().running() + endpoint.load().queued(),
                    random);
        };
    }

    private static Optional<EndpointView> selectLeastLoaded(
            List<EndpointView> candidates, ToIntFunction<EndpointView> load, RandomGenerator random) {
        int minimumLoad = candidates.stream().mapToInt(load).min().orElse(0);
        List<EndpointView> leastLoaded = candidates.stream()
                .filter(endpoint -> load.applyAsInt(endpoint) == minimumLoad)
                .sorted(Comparator.comparing(EndpointView::vm))
                .toList();
        return leastLoaded.isEmpty()
                ? Optional.empty()
                : Optional.of(leastLoaded.get(random.nextInt(leastLoaded.size())));
    }

    private static List<EndpointView> findCandidates(List<EndpointView> endpoints, RoutingQuery query) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.load().accepting())
                .filter(endpoint -> !query.excludedVms().contains(endpoint.vm()))
                .toList();
    }
}
