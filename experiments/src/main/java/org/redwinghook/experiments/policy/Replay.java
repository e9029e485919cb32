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
    private static final int PLAIN_CONCURRENCY = 16;
    private static final int QUICK_TOKENS = 64;
    private static final long HEARTBEAT_MICROS = 5 * Timeline.SECOND;

    /** Time until a change of availability is in effect at routers and sidecars. */
    private static final long CONFIGURATION_MICROS = 2 * Timeline.SECOND;

    private static final int ENGINE_THAT_TURNS_COLD = 3;

    private final EventQueue events = new EventQueue();
    private final Measurements measurements = new Measurements();
    private final Policy policy;
    private final List<TracedRequest> trace;
    private final Topology topology;
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final List<SimulatedRouter> routers = new ArrayList<>();
    private final Map<Long, Long> previousToken = new HashMap<>();
    private final Map<Long, SimulatedEndpoint> places = new HashMap<>();

    private Replay(Deployment deployment, Policy policy, List<TracedRequest> trace, long seed) {
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
            // Routers run in data centres that stay: the move concerns endpoints only.
            int place = dataCentre == Topology.MOVED_DATA_CENTRE ? 0 : dataCentre;
            routers.add(new SimulatedRouter(place, policy.selection(random), policy.selection(random)));
        }
    }

    /** Runs a replay with the move of a data centre and an engine that turns cold. */
    static Measurements withMove(Deployment deployment, Policy policy, List<TracedRequest> trace, long seed) {
        Replay replay = new Replay(deployment, policy, trace, seed);
        replay.scheduleMove();
        return replay.run();
    }

    /** Runs a replay in which all endpoints stay warm and in service. */
    static Measurements undisturbed(Deployment deployment, Policy policy, List<TracedRequest> trace, long seed) {
        return new Replay(deployment, policy, trace, seed).run();
    }

    private Measurements run() {
        for (TracedRequest request : trace) {
            events.schedule(request.arrivalMicros(), () -> arrive(new RequestRun(request)));
        }
        events.after(HEARTBEAT_MICROS, this::heartbeat);
        events.run(Timeline.END);
        return measurements;
    }

    private void scheduleMove() {
        events.schedule(Timeline.TURNS_COLD, endpoints.get(ENGINE_THAT_TURNS_COLD)::turnCold);
        for (SimulatedEndpoint endpoint : endpoints) {
            if (endpoint.dataCentre() == Topology.MOVED_DATA_CENTRE) {
                events.schedule(Timeline.LEAVES + CONFIGURATION_MICROS, endpoint::leave);
                events.schedule(Timeline.RETURNS + CONFIGURATION_MICROS, endpoint::comeBack);
            }
        }
    }

    private void addEndpoint(String vm, int dataCentre, boolean plain) {
        AdmissionSettings settings = plain
                ? new AdmissionSettings(PLAIN_CONCURRENCY, 0, QUICK_TOKENS)
                : new AdmissionSettings(FakeEngine.SLOTS, FakeEngine.MEMORY_TOKENS, QUICK_TOKENS);
        endpoints.add(new SimulatedEndpoint(events, vm, dataCentre, plain, policy.admission(settings, trace), this));
    }

    private void arrive(RequestRun run) {
        measurements.arrived(run.request());
        SimulatedRouter router = router(run);
        router.budget().requestStarted(events.nowMillis());
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
        run.countAttempt(vm);
        router.sent(vm);
        places.put(run.request().identifier(), endpoint);
        events.after(latency(router, endpoint), () -> endpoint.offer(run));
    }

    @Override
    public void refused(SimulatedEndpoint endpoint, RequestRun run) {
        report(endpoint, run, () -> retryOrRefuse(run));
    }

    @Override
    public void token(RequestRun run) {
        long identifier = run.request().identifier();
        long previous = previousToken.getOrDefault(identifier, RequestRun.NONE);
        SimulatedEndpoint endpoint = places.get(identifier);
        measurements.token(run, previous, events.nowMicros(), latency(router(run), endpoint));
        previousToken.put(identifier, events.nowMicros());
    }

    @Override
    public void finished(SimulatedEndpoint endpoint, RequestRun run) {
        run.end();
        report(endpoint, run, () -> {});
    }

    @Override
    public void failed(SimulatedEndpoint endpoint, RequestRun run) {
        if (run.generated() > 0) {
            run.end();
            measurements.interrupted(run);
            report(endpoint, run, () -> {});
            return;
        }
        report(endpoint, run, () -> retryOrRefuse(run));
    }

    @Override
    public void preempted(RequestRun run) {
        measurements.preempted(run.request());
    }

    @Override
    public void crashed() {
        measurements.crashed();
    }

    /** The load travels with the response, as in the frames between sidecars and routers. */
    private void report(SimulatedEndpoint endpoint, RequestRun run, Runnable then) {
        SimulatedRouter router = router(run);
        EndpointLoad load = endpoint.load();
        events.after(latency(router, endpoint), () -> {
            router.ended(endpoint.vm());
            router.reported(endpoint.vm(), load);
            then.run();
        });
    }

    private void retryOrRefuse(RequestRun run) {
        SimulatedRouter router = router(run);
        boolean inTime = events.nowMicros() < run.deadlineMicros();
        if (inTime && router.budget().tryRetry(run.attempts(), events.nowMillis())) {
            submit(router, run);
            return;
        }
        refuse(run);
    }

    private void refuse(RequestRun run) {
        run.end();
        measurements.refused(run.request());
    }

    private void heartbeat() {
        for (SimulatedRouter router : routers) {
            for (SimulatedEndpoint endpoint : endpoints) {
                EndpointLoad load = endpoint.load();
                events.after(latency(router, endpoint), () -> router.reported(endpoint.vm(), load));
            }
        }
        events.after(HEARTBEAT_MICROS, this::heartbeat);
    }

    private long latency(SimulatedRouter router, SimulatedEndpoint endpoint) {
        return topology.latencyMicros(router.dataCentre(), endpoint.dataCentre());
    }

    private SimulatedRouter router(RequestRun run) {
        return routers.get(run.request().router());
    }
}
