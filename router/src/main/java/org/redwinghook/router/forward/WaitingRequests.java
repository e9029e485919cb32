package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.dispatch.CandidateSource;
import org.redwinghook.core.dispatch.CapacityRule;
import org.redwinghook.core.dispatch.DispatchDecision;
import org.redwinghook.core.dispatch.DispatchOutcome;
import org.redwinghook.core.dispatch.DispatchRequest;
import org.redwinghook.core.dispatch.RetryDelay;
import org.redwinghook.core.dispatch.ServiceQueue;
import org.redwinghook.core.dispatch.WaitingSettings;
import org.redwinghook.core.forward.CustomerAccess;
import org.redwinghook.core.forward.ForwardingConfiguration;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.forward.Route;
import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.DelayEstimate;
import org.redwinghook.core.placement.PlacementQuery;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests that wait in this router while no endpoint has capacity for them, one queue for each service. Confined to one
 * event loop.
 */
final class WaitingRequests implements AttemptObserver {

    /** Interval at which queues are served while requests wait, in milliseconds; estimates depend on the time. */
    private static final long CHECK_INTERVAL_MILLIS = 25;

    /**
     * Longest delay after a report of another router until the queues are served, in milliseconds. It is random, so that
     * the first router that uses released capacity has reported this before the others choose.
     */
    private static final long MAXIMUM_REPORT_DELAY_MILLIS = 20;

    private static final Logger LOGGER = LoggerFactory.getLogger(WaitingRequests.class);

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final ForwardingState state;
    private final ForwardSelector selector;
    private final ForwardMetrics metrics;
    private final Supplier<WaitingSettings> settings;
    private final IntSupplier routerCount;
    private final Map<String, ServiceQueue> queues = new HashMap<>();
    private final Map<DispatchRequest, WaitingRequest> waiting = new IdentityHashMap<>();
    private final CandidateSource endpoints;
    private final Map<CallerExchange, DelayEstimate> estimates = new IdentityHashMap<>();
    private long checkTimer = -1;
    private boolean isServiceScheduled;
    private boolean isServing;

    /**
     * Creates the queues.
     *
     * @param vertx event loop and timers
     * @param clock monotonic clock
     * @param state configuration and endpoints known to the router
     * @param selector supplies the endpoints of requests
     * @param metrics counters and histograms
     * @param settings settings in force
     * @param routerCount number of routers
     */
    WaitingRequests(
            Vertx vertx,
            MonotonicClock clock,
            ForwardingState state,
            ForwardSelector selector,
            ForwardMetrics metrics,
            Supplier<WaitingSettings> settings,
            IntSupplier routerCount) {
        this.vertx = vertx;
        this.clock = clock;
        this.state = state;
        this.selector = selector;
        this.metrics = metrics;
        this.settings = settings;
        this.routerCount = routerCount;
        this.endpoints = new WaitingCandidates(
                selector, routerCount, request -> waiting.get(request).caller());
    }

    /**
     * Whether requests wait for capacity.
     *
     * @return false if they are to be sent at once
     */
    boolean isEnabled() {
        return settings.get().enabled();
    }

    /**
     * Adds a request, which may be sent or refused before this method returns.
     *
     * @param caller exchange with the caller
     * @param rule when an endpoint has capacity for the request
     * @param query size of the request
     * @param listener receives the end of the wait
     * @return the waiting request
     */
    WaitingRequest add(
            CallerExchange caller, CapacityRule rule, PlacementQuery query, WaitingRequest.Listener listener) {
        long now = clock.millis();
        WaitingRequest added = new WaitingRequest(caller, rule, query, now, listener);
        ServiceQueue queue = queue(added.service());
        waiting.put(added.request(), added);
        queue.add(added.request(), now);
        serve(added.service());
        if (!waiting.containsKey(added.request())) {
            return added;
        }
        added.setWaited();
        metrics.registerWaiting(caller.route().name(), this::countOfRoute, this::oldestOfRouteMillis);
        LOGGER.info(
                "request waits id={} route={} service={} priority={} remainingMillis={} waiting={}",
                caller.requestId(),
                caller.route().name(),
                caller.service(),
                added.request().priority(),
                caller.remainingMillis(),
                waiting.size());
        if (queue.size() > settings.get().maximumRequests()) {
            rejectLast(queue);
        }
        scheduleCheck();
        return added;
    }

    /**
     * Number of waiting requests.
     *
     * @return the number
     */
    int size() {
        return waiting.size();
    }

    /**
     * Removes a request whose wait has ended otherwise. Has no effect if it does not wait any more.
     *
     * @param request the request
     */
    void remove(WaitingRequest request) {
        if (waiting.remove(request.request()) != null) {
            queue(request.service()).remove(request.request());
            recordEnd(request, "withdrawn");
        }
    }

    /**
     * Time after which the caller of a refused request should try again.
     *
     * @param caller the request
     * @param rule when an endpoint has capacity for it
     * @param query its size
     * @return the delay in milliseconds
     */
    long retryAfterMillis(CallerExchange caller, CapacityRule rule, PlacementQuery query) {
        long now = clock.millis();
        DispatchRequest request = WaitingRequest.describe(caller, rule, query, now);
        double capacityMillis = queue(caller.service())
                .capacityMillis(request, new WaitingCandidates(selector, routerCount, ignored -> caller), now);
        return RetryDelay.millis(
                request, Double.isInfinite(capacityMillis) ? RetryDelay.NO_ENDPOINT_MILLIS : capacityMillis, now);
    }

    /**
     * Refuses waiting requests.
     *
     * @param isRefused whether a request is refused
     * @param refusal refusal of a request
     */
    void refuse(Predicate<CallerExchange> isRefused, Function<CallerExchange, Refusal> refusal) {
        for (WaitingRequest request : List.copyOf(waiting.values())) {
            if (waiting.containsKey(request.request()) && isRefused.test(request.caller())) {
                request.caller().interrupt(refusal.apply(request.caller()));
            }
        }
    }

    /** Applies a new configuration: requests that it does not admit are rejected as new ones would be. */
    void handleConfiguration() {
        ForwardingConfiguration configuration = state.configuration().orElse(null);
        if (configuration == null) {
            return;
        }
        for (WaitingRequest request : List.copyOf(waiting.values())) {
            if (waiting.containsKey(request.request())) {
                readmit(request, configuration);
            }
        }
    }

    private void readmit(WaitingRequest request, ForwardingConfiguration configuration) {
        CallerExchange caller = request.caller();
        Optional<Route> route =
                configuration.findRoute(ForwardServer.host(caller.request()), ForwardServer.path(caller.request()));
        if (route.isEmpty()) {
            caller.interrupt(new Refusal(RefusalCause.ROUTE_WITHDRAWN, 0));
            return;
        }
        CustomerAccess access = null;
        if (configuration.needsKeys() && !route.get().anonymous()) {
            String key = caller.head().key();
            access = key == null ? null : configuration.findAccess(key).orElse(null);
            if (access == null) {
                caller.interrupt(new Refusal(RefusalCause.KEY_WITHDRAWN, 0));
                return;
            }
        }
        if (route.get().kind() != caller.route().kind()) {
            caller.interrupt(new Refusal(RefusalCause.NO_ENDPOINT, 0));
            return;
        }
        String service = caller.selectService(route.get());
        if (caller.requiredVersion() != null && !service.equals(caller.service())) {
            // The version says nothing about the endpoints of another service.
            caller.interrupt(new Refusal(RefusalCause.VERSION_GONE, 0));
            return;
        }
        if (!route.get().equals(caller.route()) || !Objects.equals(access, caller.access())) {
            caller.readmit(route.get(), access);
            move(request);
        }
    }

    /** Puts a request whose route or customer has changed at its new place. */
    private void move(WaitingRequest request) {
        long now = clock.millis();
        waiting.remove(request.request());
        queue(request.service()).remove(request.request());
        request.update(now);
        waiting.put(request.request(), request);
        queue(request.service()).add(request.request(), now);
    }

    /** Serves the queues soon, since an endpoint may have capacity now. */
    void scheduleService() {
        schedule(0);
    }

    /** Serves the queues after a report of another router, together with those that follow at once. */
    void handleWorkReport() {
        schedule(1 + ThreadLocalRandom.current().nextLong(MAXIMUM_REPORT_DELAY_MILLIS));
    }

    private void schedule(long delayMillis) {
        if (waiting.isEmpty() || isServiceScheduled) {
            return;
        }
        isServiceScheduled = true;
        if (delayMillis == 0) {
            vertx.runOnContext(ignored -> serveAll());
            return;
        }
        vertx.setTimer(delayMillis, ignored -> serveAll());
    }

    private void scheduleCheck() {
        if (checkTimer >= 0 || waiting.isEmpty()) {
            return;
        }
        checkTimer = vertx.setTimer(CHECK_INTERVAL_MILLIS, ignored -> {
            checkTimer = -1;
            try {
                serveAll();
            } finally {
                scheduleCheck();
            }
        });
    }

    private void serveAll() {
        isServiceScheduled = false;
        for (String service : List.copyOf(queues.keySet())) {
            if (queue(service).size() > 0) {
                serve(service);
            }
        }
    }

    private void serve(String service) {
        if (isServing) {
            return;
        }
        isServing = true;
        try {
            ServiceQueue.Pass pass = queue(service).serve(endpoints, clock.millis());
            for (DispatchDecision decision = pass.next(); decision != null; decision = pass.next()) {
                apply(decision);
            }
        } finally {
            isServing = false;
        }
    }

    private void apply(DispatchDecision decision) {
        WaitingRequest request = waiting.remove(decision.request());
        if (request == null || request.caller().isEnded()) {
            return;
        }
        Candidate chosen = decision.endpoint();
        Optional<KnownEndpoint> endpoint =
                chosen == null ? Optional.empty() : state.endpoints().find(chosen.id());
        recordEnd(request, decision.outcome().name().toLowerCase(Locale.ROOT));
        if (endpoint.isEmpty()) {
            boolean isUnservable = decision.outcome() == DispatchOutcome.UNSERVABLE;
            request.listener().handleRefusal(isUnservable ? RefusalCause.NO_CAPACITY : RefusalCause.NO_ENDPOINT);
            return;
        }
        DelayEstimate estimate = decision.estimate();
        if (estimate != null) {
            estimates.put(request.caller(), estimate);
        }
        request.listener().handleEndpoint(endpoint.get());
        if (request.caller().isEnded()) {
            estimates.remove(request.caller());
        }
    }

    private void rejectLast(ServiceQueue queue) {
        DispatchRequest last = queue.removeLast();
        WaitingRequest rejected = last == null ? null : waiting.remove(last);
        if (rejected != null) {
            recordEnd(rejected, "queue_full");
            rejected.listener().handleRefusal(RefusalCause.NO_CAPACITY);
        }
    }

    private void recordEnd(WaitingRequest request, String outcome) {
        request.setEnded();
        if (!request.hasWaited()) {
            return;
        }
        long waitedMillis = clock.millis() - request.waitingSinceMillis();
        metrics.recordWait(request.caller().route().name(), outcome, waitedMillis);
        LOGGER.info(
                "wait ended id={} route={} outcome={} waitedMillis={} slackMillis={} waiting={}",
                request.request().id(),
                request.caller().route().name(),
                outcome,
                waitedMillis,
                request.request().objectiveAtMillis() - clock.millis(),
                waiting.size());
    }

    private ServiceQueue queue(String service) {
        return queues.computeIfAbsent(service, name -> new ServiceQueue());
    }

    private long countOfRoute(String route) {
        return waiting.values().stream()
                .filter(request -> request.caller().route().name().equals(route))
                .count();
    }

    private long oldestOfRouteMillis(String route) {
        long now = clock.millis();
        return waiting.values().stream()
                .filter(request -> request.caller().route().name().equals(route))
                .mapToLong(request -> now - request.waitingSinceMillis())
                .max()
                .orElse(0);
    }

    @Override
    public void handleFirstEvent(CallerExchange caller, KnownEndpoint endpoint, long sinceStartMillis) {
        recordEstimate(caller, sinceStartMillis);
        scheduleService();
    }

    @Override
    public void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {
        if (outcome == AttemptOutcome.SUCCEEDED) {
            recordEstimate(caller, sinceStartMillis);
        }
        estimates.remove(caller);
        scheduleService();
    }

    private void recordEstimate(CallerExchange caller, long firstResultMillis) {
        DelayEstimate estimate = estimates.remove(caller);
        if (estimate != null) {
            metrics.recordEstimate(caller.service(), estimate.firstResultMillis(), firstResultMillis);
        }
    }
}
