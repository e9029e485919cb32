package org.redwinghook.experiments.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;
import org.redwinghook.core.admission.AdmissionSettings;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.routing.EndpointView;

/** Replays one trace under one policy in virtual time. */
final class Replay implements RunListener {

    private static final int ENGINES = 8;
    private static final int PLAIN_SERVERS = 3;
    private static final int PLAIN_SERVER_CONCURRENCY = 16;
    private static final int MAXIMUM_QUICK_TOKENS = 64;
    private static final long HEARTBEAT_INTERVAL_MICROS = 5 * Timeline.SECOND_MICROS;

    /** Delay until a change of availability takes effect at routers and sidecars. */
    private static final long CONFIGURATION_DELAY_MICROS = 2 * Timeline.SECOND_MICROS;

    private static final int COLD_ENGINE_INDEX = 3;

    private final EventQueue events = new EventQueue();
    private final Measurements measurements = new Measurements();
    private final Policy policy;
    private final List<TraceRequest> trace;
    private final Topology topology;
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final Map<Long, Long> previousTokenMicros = new HashMap<>();
    private final Map<Long, SimulatedEndpoint> assignedEndpoints = new HashMap<>();

    private Replay(Deployment deployment, Policy policy, List<TraceRequest> trace, long seed) {
        this.policy = policy;
        this.trace = trace;
        this.topology = new Topology(deployment.localLatencyMicros());
        RandomGenerator random = new Well19937c(seed);
        for (int engine = 0; engine < ENGINES; engine++) {
            addEndpoint("engine-" + engine, engine % Topology.DATA_CENTRES, false);
        }
        for (int server = 0; server < PLAIN_SERVERS; server++) {
            addEndpoint("plain-" + server, server, true);
        }
        for (int dataCentre = 0; dataCentre < Topology.DATA_CENTRES; dataCentre++) {
            // The move affects endpoints only, so no router runs in the data centre that moves.
            int routerDataCentre = dataCentre == Topology.MOVED_DATA_CENTRE ? 0 : dataCentre;
            routers.add(new SimulatedRouter(routerDataCentre, policy.selection(random), policy.selection(random)));
        }
    }

    /** Runs a replay in which one data centre leaves and returns, and one engine turns cold. */
    static Measurements withMove(Deployment deployment, Policy policy, List<TraceRequest> trace, long seed) {
        Replay replay = new Replay(deployment, policy, trace, seed);
        replay.scheduleMove();
        return replay.run();
    }

    /** Runs a replay in which all endpoints stay warm and in service. */
    static Measurements withoutMove(Deployment deployment, Policy policy, List<TraceRequest> trace, long seed) {
        return new Replay(deployment, policy, trace, seed).run();
    }

    private Measurements run() {
        for (TraceRequest request : trace) {
            events.schedule(request.arrivalMicros(), () -> handleArrival(new RequestRun(request)));
        }
        events.scheduleAfter(HEARTBEAT_INTERVAL_MICROS, this::sendHeartbeats);
        events.runUntil(Timeline.END_MICROS);
        return measurements;
    }

    private void scheduleMove() {
        events.schedule(Timeline.COLD_ENGINE_MICROS, endpoints.get(COLD_ENGINE_INDEX)::turnCold);
        for (SimulatedEndpoint endpoint : endpoints) {
            if (endpoint.dataCentre() == Topology.MOVED_DATA_CENTRE) {
                events.schedule(Timeline.MOVE_START_MICROS + CONFIGURATION_DELAY_MICROS, endpoint::leaveService);
                events.schedule(Timeline.RETURN_MICROS + CONFIGURATION_DELAY_MICROS, endpoint::returnToService);
            }
        }
    }

    private void addEndpoint(String vm, int dataCentre, boolean isPlain) {
        AdmissionSettings settings = isPlain
                ? new AdmissionSettings(PLAIN_SERVER_CONCURRENCY, 0, MAXIMUM_QUICK_TOKENS)
                : new AdmissionSettings(FakeEngine.SLOTS, FakeEngine.MEMORY_TOKENS, MAXIMUM_QUICK_TOKENS);
        endpoints.add(new SimulatedEndpoint(events, vm, dataCentre, isPlain, policy.admission(settings, trace), this));
    }

    private void handleArrival(RequestRun run) {
        measurements.recordArrival(run.request());
        SimulatedRouter router = routerOf(run);
        router.retryBudget().requestStarted(events.nowMillis());
        submit(router, run);
    }

    private void submit(SimulatedRouter router, RequestRun run) {
        Optional<EndpointView> chosen = router.select(endpoints, run, topology);
        if (chosen.isEmpty()) {
            refuse(run);
            return;
        }
        String vm = chosen.get().vm();
        SimulatedEndpoint endpoint = endpoints.stream()
                .filter(candidate -> candidate.vm().equals(vm))
                .findFirst()
                .orElseThrow();
        run.recordAttempt(vm);
        router.recordSent(vm);
        assignedEndpoints.put(run.request().identifier(), endpoint);
        events.scheduleAfter(latencyMicros(router, endpoint), () -> endpoint.offer(run));
    }

    @Override
    public void onRefused(SimulatedEndpoint endpoint, RequestRun run) {
        reportLoad(endpoint, run, () -> retryOrRefuse(run));
    }

    @Override
    public void onToken(RequestRun run) {
        long identifier = run.request().identifier();
        long previousMicros = previousTokenMicros.getOrDefault(identifier, RequestRun.NO_TIME);
        SimulatedEndpoint endpoint = assignedEndpoints.get(identifier);
        measurements.recordToken(run, previousMicros, events.nowMicros(), latencyMicros(routerOf(run), endpoint));
        previousTokenMicros.put(identifier, events.nowMicros());
    }

    @Override
    public void onCompleted(SimulatedEndpoint endpoint, RequestRun run) {
        run.end();
        reportLoad(endpoint, run, () -> {});
    }

    @Override
    public void onFailed(SimulatedEndpoint endpoint, RequestRun run) {
        if (run.generatedTokens() > 0) {
            run.end();
            measurements.recordInterruption(run);
            reportLoad(endpoint, run, () -> {});
            return;
        }
        reportLoad(endpoint, run, () -> retryOrRefuse(run));
    }

    @Override
    public void onPreempted(RequestRun run) {
        measurements.recordPreemption(run.request());
    }

    @Override
    public void onCrashed() {
        measurements.recordCrash();
    }

    /** Delivers the load together with the response, as sidecars do in their frames to routers. */
    private void reportLoad(SimulatedEndpoint endpoint, RequestRun run, Runnable onReported) {
        SimulatedRouter router = routerOf(run);
        EndpointLoad load = endpoint.load();
        events.scheduleAfter(latencyMicros(router, endpoint), () -> {
            router.recordEnd(endpoint.vm());
            router.recordLoad(endpoint.vm(), load);
            onReported.run();
        });
    }

    private void retryOrRefuse(RequestRun run) {
        SimulatedRouter router = routerOf(run);
        boolean isBeforeDeadline = events.nowMicros() < run.deadlineMicros();
        if (isBeforeDeadline && router.retryBudget().tryRetry(run.attempts(), events.nowMillis())) {
            submit(router, run);
            return;
        }
        refuse(run);
    }

    private void refuse(RequestRun run) {
        run.end();
        measurements.recordRefusal(run.request());
    }

    private void sendHeartbeats() {
        for (SimulatedRouter router : routers) {
            for (SimulatedEndpoint endpoint : endpoints) {
                EndpointLoad load = endpoint.load();
                events.scheduleAfter(latencyMicros(router, endpoint), () -> router.recordLoad(endpoint.vm(), load));
            }
        }
        events.scheduleAfter(HEARTBEAT_INTERVAL_MICROS, this::sendHeartbeats);
    }

    private long latencyMicros(SimulatedRouter router, SimulatedEndpoint endpoint) {
        return topology.latencyMicros(router.dataCentre(), endpoint.dataCentre());
    }

    private SimulatedRouter routerOf(RequestRun run) {
        return routers.get(run.request().routerIndex());
    }
}
