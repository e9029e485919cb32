package org.redwinghook.experiments.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.core.routing.RetryBudget;
import org.redwinghook.core.routing.RoutingQuery;

/** A router with its lagging view of the endpoints. */
final class SimulatedRouter {

    private static final int MOST_ATTEMPTS = 3;
    private static final double RETRY_SHARE = 0.2;
    private static final EndpointLoad UNKNOWN = new EndpointLoad(0, 0, FakeEngine.SLOTS, 0, 0, true);

    private final int dataCentre;
    private final Selection generations;
    private final Selection lookups;
    private final RetryBudget budget = new RetryBudget(MOST_ATTEMPTS, RETRY_SHARE);
    private final Map<String, EndpointLoad> loads = new HashMap<>();
    private final Map<String, Integer> outstanding = new HashMap<>();

    SimulatedRouter(int dataCentre, Selection generations, Selection lookups) {
        this.dataCentre = dataCentre;
        this.generations = generations;
        this.lookups = lookups;
    }

    int dataCentre() {
        return dataCentre;
    }

    RetryBudget budget() {
        return budget;
    }

    Optional<EndpointView> select(List<SimulatedEndpoint> endpoints, RequestRun run, Topology topology) {
        TracedRequest request = run.request();
        boolean lookup = request.kind() == RequestKind.LOOKUP;
        List<EndpointView> views = new ArrayList<>();
        for (SimulatedEndpoint endpoint : endpoints) {
            if (endpoint.plain() == lookup && endpoint.accepting()) {
                views.add(new EndpointView(
                        endpoint.vm(),
                        "dc-" + endpoint.dataCentre(),
                        topology.sameRegion(dataCentre, endpoint.dataCentre()),
                        outstanding.getOrDefault(endpoint.vm(), 0),
                        loads.getOrDefault(endpoint.vm(), UNKNOWN)));
            }
        }
        RoutingQuery query = new RoutingQuery(request.prefix(), false, request.promptTokens(), run.tried());
        return lookup ? lookups.select(views, query) : generations.select(views, query);
    }

    void sent(String vm) {
        outstanding.merge(vm, 1, Integer::sum);
    }

    void ended(String vm) {
        outstanding.merge(vm, -1, Integer::sum);
    }

    void reported(String vm, EndpointLoad load) {
        loads.put(vm, load);
    }
}
