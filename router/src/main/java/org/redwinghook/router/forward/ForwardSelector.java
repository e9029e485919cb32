package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEligibility;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.forward.Exclusion;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.forward.RequestScope;
import org.redwinghook.core.forward.ServiceSettings;
import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.CandidateSample;
import org.redwinghook.core.placement.Distance;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.placement.WorkTotals;
import org.redwinghook.core.relocation.DestinationChoice;
import org.redwinghook.core.routing.RendezvousHash;

/** Chooses endpoints for forwarded requests. */
final class ForwardSelector {

    private final ForwardingState state;
    private final EndpointEligibility eligibility;
    private final WorkLedger ledger;
    private final MonotonicClock clock;
    private final Supplier<ForwardingSettings> settings;
    private final long selfHash;
    private final String dataCentre;
    private final IntSupplier routerCount;
    private final DoubleSupplier random;

    /**
     * Creates a selector.
     *
     * @param state configuration and endpoints known to the router
     * @param eligibility decides where a request may go; the selector adds the rules on regions and cold endpoints
     * @param ledger work of all routers at each endpoint
     * @param clock monotonic clock
     * @param settings settings in force; name and data centre of the router do not change
     * @param routerCount number of routers
     * @param random source of random numbers, from 0 inclusive to 1 exclusive
     */
    ForwardSelector(
            ForwardingState state,
            EndpointEligibility eligibility,
            WorkLedger ledger,
            MonotonicClock clock,
            Supplier<ForwardingSettings> settings,
            IntSupplier routerCount,
            DoubleSupplier random) {
        this.routerCount = routerCount;
        this.random = random;
        this.state = state;
        this.eligibility = eligibility;
        this.ledger = ledger;
        this.clock = clock;
        this.settings = settings;
        this.selfHash = RendezvousHash.hash(settings.get().process());
        this.dataCentre = settings.get().dataCentre();
        eligibility.addRule(this::checkRegion);
        eligibility.addRule(this::checkColdPace);
    }

    /**
     * Chooses an endpoint for a request.
     *
     * @param caller exchange with the caller
     * @param policy placement policy
     * @param query size of the request
     * @param excluded identifiers of excluded endpoints
     * @return the endpoint, empty if none may take it
     */
    Optional<KnownEndpoint> choose(
            CallerExchange caller, PlacementPolicy policy, PlacementQuery query, Set<String> excluded) {
        return choose(caller, policy, query, excluded, dataCentre);
    }

    /**
     * Chooses an endpoint for a request that comes from another data centre than the router's.
     *
     * @param caller exchange with the caller
     * @param policy placement policy
     * @param query size of the request
     * @param excluded identifiers of excluded endpoints
     * @param originDataCentre data centre from which distances are determined
     * @return the endpoint, empty if none may take it
     */
    Optional<KnownEndpoint> choose(
            CallerExchange caller,
            PlacementPolicy policy,
            PlacementQuery query,
            Set<String> excluded,
            String originDataCentre) {
        List<Candidate> candidates = candidates(caller, scope(caller, excluded), originDataCentre);
        List<Candidate> considered = policy.samplesCandidates() ? sample(candidates) : candidates;
        return policy.choose(considered, query)
                .flatMap(best -> state.endpoints().find(best.id()));
    }

    /**
     * Endpoints that may take a request, whether they have capacity or not.
     *
     * @param caller exchange with the caller
     * @param excluded identifiers of excluded endpoints
     * @return the endpoints with their present work
     */
    List<Candidate> candidates(CallerExchange caller, Set<String> excluded) {
        return candidates(caller, scope(caller, excluded), dataCentre);
    }

    /**
     * Number of endpoints that might take a request if it did not continue a stream.
     *
     * @param caller exchange with the caller
     * @return the number
     */
    int countEndpointsOfAllVersions(CallerExchange caller) {
        return eligibleEndpoints(scope(caller, Set.of(), null), clock.millis()).size();
    }

    private List<Candidate> candidates(CallerExchange caller, RequestScope scope, String originDataCentre) {
        long now = clock.millis();
        long memoryTokens = memory(caller.service()).capacityTokens();
        List<Candidate> candidates = new ArrayList<>();
        for (KnownEndpoint endpoint : eligibleEndpoints(scope, now)) {
            candidates.add(candidate(
                    endpoint,
                    memoryTokens,
                    distance(originDataCentre, endpoint.entry().dataCentre()),
                    now));
        }
        return candidates;
    }

    /**
     * Endpoints among which this router chooses.
     *
     * @param candidates endpoints that may take a request
     * @return some or all of them
     */
    List<Candidate> sample(List<Candidate> candidates) {
        return CandidateSample.of(candidates, routerCount.getAsInt(), random);
    }

    /**
     * Chooses an engine for a run that moves. The engine has the version of the source, even if the caller has received
     * no event, because the run goes on at the source while its memory is copied.
     *
     * @param caller exchange with the caller
     * @param query size of the run
     * @param excluded identifiers of excluded engines
     * @param source engine that leaves
     * @return the engine, empty if none may take the run
     */
    Optional<KnownEndpoint> chooseDestination(
            CallerExchange caller, PlacementQuery query, Set<String> excluded, EndpointEntry source) {
        String begunAt = caller.requiredVersion();
        RequestScope scope = scope(caller, excluded, begunAt == null ? source.version() : begunAt);
        List<Candidate> candidates = candidates(caller, scope, source.dataCentre());
        List<String> leaving = new ArrayList<>();
        for (EndpointEntry entry : state.endpoints().entries()) {
            boolean isNeighbour = entry.service().equals(source.service())
                    && entry.dataCentre().equals(source.dataCentre());
            if (isNeighbour
                    && state.endpoints()
                            .find(entry.id())
                            .filter(KnownEndpoint::isLeaving)
                            .isPresent()) {
                leaving.add(entry.id());
            }
        }
        return DestinationChoice.choose(candidates, query, source.id(), leaving)
                .flatMap(best -> state.endpoints().find(best.id()));
    }

    /** Endpoints that may take a request, without those that cannot be reached if there are others. */
    private List<KnownEndpoint> eligibleEndpoints(RequestScope scope, long now) {
        List<KnownEndpoint> eligible = eligibility.eligibleEndpoints(scope, now);
        List<KnownEndpoint> reachable = eligible.stream()
                .filter(endpoint -> !endpoint.health().shouldAvoid(now))
                .toList();
        return reachable.isEmpty() ? eligible : reachable;
    }

    /**
     * Whether a begun stream has no endpoint any more at which it may continue, now or soon.
     *
     * @param caller exchange with the caller
     * @return false if any version may serve the request, or an endpoint of its version is left
     */
    boolean isVersionGone(CallerExchange caller) {
        return caller.requiredVersion() != null
                && !eligibility.hasEndpointSoon(scope(caller, Set.of()), clock.millis());
    }

    private static RequestScope scope(CallerExchange caller, Set<String> excluded) {
        return scope(caller, excluded, caller.requiredVersion());
    }

    private static RequestScope scope(CallerExchange caller, Set<String> excluded, @Nullable String requiredVersion) {
        return new RequestScope(
                caller.requestId(),
                caller.service(),
                caller.route().name(),
                allowedRegions(caller),
                excluded,
                requiredVersion);
    }

    private @Nullable Exclusion checkRegion(KnownEndpoint endpoint, RequestScope scope, long now) {
        Set<String> allowedRegions = scope.allowedRegions();
        if (allowedRegions == null) {
            return null;
        }
        String region = settings.get().regions().get(endpoint.entry().dataCentre());
        return region != null && allowedRegions.contains(region) ? null : Exclusion.REGION_NOT_ALLOWED;
    }

    /** Excludes cold endpoints to which this router has already sent its share of the requests that they may receive. */
    private @Nullable Exclusion checkColdPace(KnownEndpoint endpoint, RequestScope scope, long now) {
        if (!endpoint.isCold(now)) {
            return null;
        }
        double limit = serviceSettings(scope.service())
                .map(ServiceSettings::coldRequestsPerSecond)
                .orElse(0.0);
        boolean isAllowed = endpoint.pacing()
                .allows(
                        limit,
                        settings.get().coldBurst(),
                        routerCount.getAsInt(),
                        RendezvousHash.position(selfHash, endpoint.entry().id()),
                        now);
        return isAllowed ? null : Exclusion.COLD_PACE;
    }

    /**
     * Memory of a service's engines.
     *
     * @param service name of the service
     * @return the memory, {@link EngineMemory#NONE} if the configuration names none
     */
    EngineMemory memory(String service) {
        return memory(serviceSettings(service));
    }

    private static EngineMemory memory(Optional<ServiceSettings> service) {
        return service.map(ServiceSettings::memory).orElse(EngineMemory.NONE);
    }

    private Optional<ServiceSettings> serviceSettings(String service) {
        return state.configuration().flatMap(configuration -> configuration.findService(service));
    }

    /**
     * Regions that may serve a request, null for all. If route and customer both restrict them, both restrictions
     * apply.
     */
    private static @Nullable Set<String> allowedRegions(CallerExchange caller) {
        Set<String> ofRoute = caller.route().allowedRegions();
        Set<String> ofCustomer =
                caller.access() == null ? null : caller.access().allowedRegions();
        if (ofRoute == null || ofCustomer == null) {
            return ofRoute == null ? ofCustomer : ofRoute;
        }
        Set<String> both = new HashSet<>(ofRoute);
        both.retainAll(ofCustomer);
        return both;
    }

    /**
     * What is known about an endpoint, as for a choice.
     *
     * @param endpoint the endpoint
     * @return the endpoint as a candidate of this router
     */
    Candidate describe(KnownEndpoint endpoint) {
        EndpointEntry entry = endpoint.entry();
        return candidate(
                endpoint,
                memory(entry.service()).capacityTokens(),
                distance(dataCentre, entry.dataCentre()),
                clock.millis());
    }

    private Candidate candidate(KnownEndpoint endpoint, long memoryTokens, Distance distance, long now) {
        EndpointEntry entry = endpoint.entry();
        WorkTotals work = ledger.workAt(entry.id(), now);
        boolean isPlain = memoryTokens == 0;
        return new Candidate(
                entry.id(),
                isPlain ? endpoint.slots(now) : entry.slots(),
                memoryTokens,
                isPlain ? work.withRunningAtLeast(endpoint.runningRequests(now)) : work,
                endpoint.waitingRequests(now),
                distance,
                endpoint.health().failureShare(now),
                endpoint.slowdown(now),
                endpoint.isCold(now),
                random.getAsDouble() * Candidate.MAXIMUM_JITTER_MILLIS);
    }

    private Distance distance(String originDataCentre, String otherDataCentre) {
        if (otherDataCentre.equals(originDataCentre)) {
            return Distance.LOCAL;
        }
        Map<String, String> regionByDataCentre = settings.get().regions();
        String region = regionByDataCentre.get(originDataCentre);
        return region != null && region.equals(regionByDataCentre.get(otherDataCentre)) ? Distance.NEAR : Distance.FAR;
    }
}
