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

/** A router and its view of the endpoints, whose reported loads lag behind their current loads. */
final class SimulatedRouter {

    private static final int MAXIMUM_ATTEMPTS = 3;
    private static final double RETRY_SHARE = 0.2;
    private static final EndpointLoad UNKNOWN_LOAD = new EndpointLoad(0, 0, FakeEngine.SLOTS, 0, 0, true);

    private final int dataCentre;
    private final Selection generationSelection;
    private final Selection lookupSelection;
    private final RetryBudget retryBudget = new RetryBudget(MAXIMUM_ATTEMPTS, RETRY_SHARE);
    private final Map<String, EndpointLoad> loads = new HashMap<>();
    private final Map<String, Integer> outstanding = new HashMap<>();

    SimulatedRouter(int dataCentre, Selection generationSelection, Selection lookupSelection) {
        this.dataCentre = dataCentre;
        this.generationSelection = generationSelection;
        this.lookupSelection = lookupSelection;
    }

    int dataCentre() {
        return dataCentre;
    }

    RetryBudget retryBudget() {
        return retryBudget;
    }

    Optional<EndpointView> select(List<SimulatedEndpoint> endpoints, RequestRun run, Topology topology) {
        TraceRequest request = run.request();
        boolean isLookup = request.kind() == RequestKind.LOOKUP;
        List<EndpointView> views = new ArrayList<>();
        for (SimulatedEndpoint endpoint : endpoints) {
            if (endpoint.isPlain() == isLookup && endpoint.isAccepting()) {
                views.add(new EndpointView(
                        endpoint.vm(),
                        "dc-" + endpoint.dataCentre(),
                        topology.isSameRegion(dataCentre, endpoint.dataCentre()),
                        outstanding.getOrDefault(endpoint.vm(), 0),
                        loads.getOrDefault(endpoint.vm(), UNKNOWN_LOAD)));
            }
        }
        RoutingQuery query = new RoutingQuery(request.prefixHash(), false, request.promptTokens(), run.triedVms());
        return isLookup ? lookupSelection.select(views, query) : generationSelection.select(views, query);
    }

    void recordSent(String vm) {
        outstanding.merge(vm, 1, Integer::sum);
    }

    void recordEnd(String vm) {
        outstanding.merge(vm, -1, Integer::sum);
    }

    void recordLoad(String vm, EndpointLoad load) {
        loads.put(vm, load);
    }
}
