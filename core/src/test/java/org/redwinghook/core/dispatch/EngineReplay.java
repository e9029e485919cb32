package org.redwinghook.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.Distance;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.placement.WorkTotals;

/**
 * Plays generations of several routers on engines that prefill prompts one after the other and preempt their latest run
 * when their memory is full. Sends are reported at once, everything else every 100 ms.
 */
final class EngineReplay {

    static final int MEMORY_TOKENS = 26_899;
    private static final int SLOTS = 24;
    private static final int STEP_MILLIS = 5;
    private static final int REPORT_MILLIS = 100;
    private static final double PREFILL_TOKENS_PER_MILLI = 9;
    private static final double OUTPUT_TOKENS_PER_MILLI = 0.125;

    /** A kind of generation. */
    record Kind(
            int priority,
            String customer,
            PlacementQuery query,
            long objectiveMillis,
            long timeoutMillis,
            Counts counts) {}

    /** Arrivals of a kind at random times. */
    record Load(Kind kind, double perSecond) {}

    /** What became of the generations of a kind. */
    static final class Counts {

        int sent;
        int onTime;
        int completed;

        int late() {
            return sent - onTime;
        }
    }

    /** Whether callers whose time ran out, or who were refused, send their request once more. */
    boolean callersRetry;

    int preemptions;
    private int arrivals;
    private final boolean waits;
    private final List<Engine> engines = new ArrayList<>();
    private final List<ServiceQueue> queues = new ArrayList<>();
    private final Map<DispatchRequest, Kind> kinds = new HashMap<>();
    private final Random random = new Random(1);
    private long now = 1_000_000;

    EngineReplay(int routers, int engineCount, boolean waits) {
        this.waits = waits;
        for (int router = 0; router < routers; router++) {
            queues.add(new ServiceQueue());
        }
        for (int engine = 0; engine < engineCount; engine++) {
            engines.add(new Engine(Integer.toString(engine)));
        }
    }

    /** Ends a router with its runs; the others believe in them until its reports expire. */
    void loseRouter() {
        int lost = queues.size() - 1;
        queues.remove(lost);
        for (Engine engine : engines) {
            engine.waiting.removeIf(run -> run.router == lost);
            engine.running.removeIf(run -> run.router == lost);
            for (Run run : engine.reported) {
                run.lostAtMillis = run.router == lost ? now : run.lostAtMillis;
            }
        }
    }

    /** Plays some time in which generations of some kinds arrive at random times. */
    void play(long millis, Load... loads) {
        for (long end = now + millis; now < end; now += STEP_MILLIS) {
            for (Load load : loads) {
                if (random.nextDouble() < load.perSecond * STEP_MILLIS / 1_000) {
                    arrive(load.kind, random.nextInt(queues.size()));
                }
            }
            List.copyOf(engines).forEach(Engine::step);
            if (now % REPORT_MILLIS == 0) {
                engines.forEach(Engine::report);
            }
            for (int router = 0; router < queues.size(); router++) {
                serve(router);
            }
        }
    }

    void arrive(Kind kind, int router) {
        kind.counts.sent++;
        arrive(kind, router, false);
    }

    private void arrive(Kind kind, int router, boolean isRetry) {
        DispatchRequest request = new DispatchRequest(
                (isRetry ? "retry-" : "id-") + arrivals++,
                "route-" + kind.priority,
                kind.customer,
                kind.priority,
                CapacityRule.GENERATION,
                kind.query,
                now,
                now + kind.objectiveMillis,
                now + kind.timeoutMillis);
        kinds.put(request, kind);
        if (waits) {
            queues.get(router).add(request, now);
            serve(router);
            return;
        }
        PlacementPolicy.GENERATION
                .choose(source(router).candidates(request), request.query())
                .ifPresent(chosen -> start(request, router, chosen));
    }

    private void retry(DispatchRequest request) {
        if (callersRetry && !request.id().startsWith("retry")) {
            arrive(kinds.get(request), random.nextInt(queues.size()), true);
        }
    }

    private void serve(int router) {
        ServiceQueue.Pass pass = queues.get(router).serve(source(router), now);
        for (DispatchDecision next = pass.next(); next != null; next = pass.next()) {
            DispatchRequest request = next.request();
            if (next.endpoint() == null) {
                retry(request);
            } else {
                start(request, router, next.endpoint());
            }
        }
    }

    private void start(DispatchRequest request, int router, Candidate chosen) {
        Engine engine = engines.get(Integer.parseInt(chosen.id()));
        Run run = new Run(request, router);
        engine.waiting.add(run);
        engine.reported.add(run);
        run.reported = run.work();
    }

    private CandidateSource source(int router) {
        return new CandidateSource() {
            @Override
            public List<Candidate> candidates(DispatchRequest request) {
                return engines.stream().map(engine -> engine.candidate(router)).toList();
            }

            @Override
            public List<Candidate> sample(List<Candidate> candidates) {
                return candidates;
            }

            @Override
            public int routers() {
                return queues.size();
            }
        };
    }

    private final class Run {

        private final DispatchRequest request;
        private final int router;
        private double toPrefill;
        private double produced;
        private long lostAtMillis = Long.MAX_VALUE;
        private boolean ended;
        private boolean preempted;
        private boolean punctual;
        private WorkTotals reported = WorkTotals.NONE;

        Run(DispatchRequest request, int router) {
            this.request = request;
            this.router = router;
            this.toPrefill = request.query().promptTokens();
        }

        double held() {
            return request.query().promptTokens() + produced;
        }

        WorkTotals work() {
            if (ended) {
                return WorkTotals.NONE;
            }
            long waitingTokens = produced == 0 ? request.query().promptTokens() : 0;
            return new WorkTotals(1, waitingTokens, request.work(), produced == 0 ? 0 : (long) held());
        }

        void produce() {
            if (produced == 0) {
                punctual = now <= request.objectiveAtMillis();
            }
            produced += STEP_MILLIS * OUTPUT_TOKENS_PER_MILLI;
            if (produced >= request.query().expectedOutputTokens()) {
                ended = true;
                kinds.get(request).counts.onTime += punctual && !preempted ? 1 : 0;
                kinds.get(request).counts.completed += now <= request.deadlineMillis() ? 1 : 0;
            }
        }
    }

    private final class Engine {

        private final String id;
        private final Deque<Run> waiting = new ArrayDeque<>();
        private final List<Run> running = new ArrayList<>();
        private final List<Run> reported = new ArrayList<>();

        Engine(String id) {
            this.id = id;
        }

        Candidate candidate(int router) {
            WorkTotals work = WorkTotals.NONE;
            for (Run run : reported) {
                work = work.plus(run.router == router ? run.work() : run.reported);
            }
            return new Candidate(id, SLOTS, MEMORY_TOKENS, work, 0, Distance.LOCAL, 0, 1, false, 0);
        }

        void report() {
            reported.removeIf(run -> run.ended || now - run.lostAtMillis >= WorkLedger.MAXIMUM_PEER_TOTALS_AGE_MILLIS);
            reported.stream().filter(run -> run.lostAtMillis > now).forEach(run -> run.reported = run.work());
        }

        /** Ends the runs whose callers do not wait any more. */
        private void expire() {
            for (Run run : List.copyOf(reported)) {
                if (!run.ended && run.lostAtMillis > now && now > run.request.deadlineMillis()) {
                    run.ended = true;
                    waiting.remove(run);
                    running.remove(run);
                    retry(run.request);
                }
            }
        }

        void step() {
            expire();
            double free =
                    MEMORY_TOKENS - running.stream().mapToDouble(Run::held).sum();
            double budget = STEP_MILLIS * PREFILL_TOKENS_PER_MILLI;
            while (!waiting.isEmpty()
                    && budget > 0
                    && running.size() < SLOTS
                    && free >= waiting.peek().held()) {
                Run next = waiting.peek();
                double prefilled = Math.min(budget, next.toPrefill);
                budget -= prefilled;
                next.toPrefill -= prefilled;
                if (next.toPrefill <= 0) {
                    running.add(waiting.poll());
                    free -= next.held();
                }
            }
            running.forEach(Run::produce);
            running.removeIf(run -> run.ended);
            while (running.stream().mapToDouble(Run::held).sum() > MEMORY_TOKENS) {
                Run latest = running.remove(running.size() - 1);
                latest.toPrefill = latest.held();
                waiting.addFirst(latest);
                preemptions++;
                latest.preempted = true;
            }
        }
    }
}
