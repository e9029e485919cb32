package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.message.CopyReport;
import org.redwinghook.core.placement.WorkTotals;

/**
 * Replays the departure of one engine: its link serves complete and final copies one after another, calls take 5 to 15 ms
 * each way, reports of other routers are 30 to 100 ms old, and the notice reaches each router 70 to 130 ms late.
 */
final class DepartureReplay {

    private static final double NOTICE_MILLIS = 1_500;

    final List<Run> runs = new ArrayList<>();
    private final Map<String, Router> routers = new TreeMap<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::millis));
    private final EngineMemory memory;
    private final Random random;
    private final double endMillis;
    private double now;
    private double linkFreeMillis;

    private record Event(double millis, Runnable action) {}

    /** A run of a router, and its course. */
    static final class Run {
        final String router;
        final long tokens;
        final double prefillUntilMillis;
        double copyStartedMillis;
        double pauseMillis;
        boolean isSaved;

        Run(String router, long tokens, double prefillUntilMillis) {
            this.router = router;
            this.tokens = tokens;
            this.prefillUntilMillis = prefillUntilMillis;
        }
    }

    DepartureReplay(EngineMemory memory, double endMillis, long seed) {
        this.memory = memory;
        this.endMillis = endMillis;
        this.random = new Random(seed);
    }

    long savedRuns(boolean isPlanned) {
        for (Run run : runs) {
            routers.computeIfAbsent(run.router, name -> isPlanned ? new PlanningRouter(name) : new TurningRouter(name))
                    .waiting
                    .add(run);
        }
        for (Router router : routers.values()) {
            routers.forEach((name, other) -> router.workOfOthers.put(name, other.work()));
            router.workOfOthers.remove(router.name);
            after(router.noticedMillis, router::start);
        }
        while (!events.isEmpty() && events.peek().millis() <= endMillis + 100) {
            Event event = events.poll();
            now = event.millis();
            event.action().run();
        }
        return runs.stream().filter(run -> run.isSaved).count();
    }

    /** Moved runs that paused for longer than the objective of 180 ms. */
    long lateRuns() {
        return runs.stream().filter(run -> run.isSaved && run.pauseMillis > 180).count();
    }

    /** Largest number of runs that the link can copy between the first notice and the end, the shortest ones first. */
    long savableRuns() {
        double freeMillis = routers.values().stream()
                .mapToDouble(router -> router.noticedMillis)
                .min()
                .orElse(0);
        long savable = 0;
        for (long tokens : runs.stream().mapToLong(run -> run.tokens).sorted().toArray()) {
            freeMillis += memory.copyMillis(tokens);
            savable += freeMillis <= endMillis ? 1 : 0;
        }
        return savable;
    }

    private double between(double from, double to) {
        return from + random.nextDouble() * (to - from);
    }

    private void after(double millis, Runnable action) {
        events.add(new Event(now + millis, action));
    }

    /** Copies a run's memory; the result is false while its prompt is in prefill, and missing after the engine's end. */
    private void copy(Run run, boolean stops, BiConsumer<Run, Boolean> done) {
        after(between(5, 15), () -> {
            if (now < run.prefillUntilMillis) {
                after(between(5, 15), () -> done.accept(run, false));
                return;
            }
            boolean isComplete = run.copyStartedMillis == 0;
            long tokens = isComplete ? run.tokens : Math.round((now - run.copyStartedMillis) / 8);
            run.copyStartedMillis = now;
            linkFreeMillis = Math.max(now, linkFreeMillis) + memory.copyMillis(tokens);
            double millis = linkFreeMillis - now;
            if (linkFreeMillis <= endMillis) {
                after(millis + between(5, 15), () -> {
                    run.isSaved = stops;
                    run.pauseMillis = millis;
                    done.accept(run, true);
                });
            }
        });
    }

    /** A router with runs at the engine, and what it knows of the others. */
    private abstract class Router {
        final String name;
        final List<Run> waiting = new ArrayList<>();
        final Map<String, WorkTotals> workOfOthers = new HashMap<>();
        final double noticedMillis = between(70, 130);
        int copying;

        Router(String name) {
            this.name = name;
        }

        abstract void start();

        void reportWork() {
            WorkTotals work = work();
            broadcast(router -> router.workOfOthers.put(name, work));
        }

        WorkTotals work() {
            WorkTotals work = WorkTotals.NONE;
            for (Run run : runs) {
                if (run.router.equals(name) && !run.isSaved) {
                    long held = run.prefillUntilMillis > now ? 0 : run.tokens;
                    work = work.plus(new WorkTotals(1, run.tokens - held, run.tokens, held));
                }
            }
            return work;
        }

        void broadcast(Consumer<Router> message) {
            for (Router router : routers.values()) {
                if (router != this) {
                    after(between(30, 100), () -> message.accept(router));
                }
            }
        }
    }

    /** The former way: routers in turn, waves of up to 400 ms, a second copy and a stop for each run. */
    private final class TurningRouter extends Router {

        TurningRouter(String name) {
            super(name);
        }

        @Override
        void start() {
            reportWork();
            awaitTurn();
        }

        private void awaitTurn() {
            double earlierMillis = 0;
            for (Map.Entry<String, WorkTotals> other : workOfOthers.entrySet()) {
                boolean isEarlier = other.getKey().compareTo(name) < 0;
                earlierMillis += isEarlier ? memory.copyMillis(other.getValue().heldTokens()) : 0;
            }
            double waitedMillis = now - noticedMillis;
            boolean fits = waitedMillis >= NOTICE_MILLIS * 2 / 3
                    && earlierMillis + waveMillis(wave()) <= NOTICE_MILLIS - waitedMillis;
            if (earlierMillis <= 0 || fits) {
                startWave();
                return;
            }
            after(20, this::awaitTurn);
        }

        private double waveMillis(List<Run> wave) {
            return memory.copyMillis(wave.stream().mapToLong(run -> run.tokens).sum());
        }

        private List<Run> wave() {
            int size = Math.min(1, waiting.size());
            while (size < waiting.size() && waveMillis(waiting.subList(0, size + 1)) <= 400) {
                size++;
            }
            return List.copyOf(waiting.subList(0, size));
        }

        private void startWave() {
            List<Run> wave = wave();
            waiting.removeAll(wave);
            copying += wave.size();
            wave.forEach(run -> copy(run, false, this::handleFirstCopy));
        }

        private void handleFirstCopy(Run run, boolean isCopied) {
            if (!isCopied) {
                release();
                copying++;
                after(60, () -> copy(run, false, this::handleFirstCopy));
                return;
            }
            if (now - noticedMillis < NOTICE_MILLIS - 350) {
                copy(run, false, (copied, ignored) -> stop(copied));
            } else {
                stop(run);
            }
        }

        private void stop(Run run) {
            copy(run, true, (stopped, ignored) -> {
                reportWork();
                release();
            });
        }

        private void release() {
            if (--copying == 0) {
                startWave();
            }
        }
    }

    /** The plan: one copy at a time, in this router's slots. */
    private final class PlanningRouter extends Router {
        private final ReportAges ages = new ReportAges();
        private final LinkTurns turns;
        private PendingCopies reported;
        private double busyUntilMillis;
        private long reportedSinceMillis = (long) noticedMillis - LinkTurns.REPORT_AGE_MILLIS;
        private long reportNumber;

        PlanningRouter(String name) {
            super(name);
            turns = new LinkTurns(name, memory, (long) noticedMillis, (long) (noticedMillis + NOTICE_MILLIS), false);
            reported = new PendingCopies(name, 1, 0);
        }

        @Override
        void start() {
            report(0);
            check();
        }

        private void check() {
            PendingCopies pending = pending();
            if (pending.runs() != reported.runs()) {
                report(Math.max(0, (long) (busyUntilMillis - now)));
            }
            boolean mayStart = copying == 0
                    && pending.runs() > 0
                    && turns.mayStart(pending, reportedSinceMillis, workOfOthers, (long) now);
            if (mayStart) {
                Run run = ready().get(0);
                waiting.remove(run);
                copying++;
                report((long) memory.copyMillis(run.tokens) + DeparturePlan.HANDOVER_MILLIS);
                copy(run, false, (copied, ignored) -> stop(copied));
            }
            after(10, this::check);
        }

        private void stop(Run run) {
            copying--;
            report(DeparturePlan.HANDOVER_MILLIS);
            copy(run, true, (stopped, ignored) -> reportWork());
        }

        private List<Run> ready() {
            return waiting.stream().filter(run -> run.prefillUntilMillis <= now).toList();
        }

        private PendingCopies pending() {
            long tokens = ready().stream().mapToLong(run -> run.tokens).sum();
            return new PendingCopies(name, ready().size(), tokens);
        }

        private void report(long busyMillis) {
            reportedSinceMillis = reported.runs() == 0 ? (long) now : reportedSinceMillis;
            reported = pending();
            busyUntilMillis = now + busyMillis;
            long sentMillis = (long) now;
            CopyReport report = new CopyReport(
                    name, "m-1", 1, ++reportNumber, sentMillis, busyMillis, reported.runs(), reported.tokens());
            turns.record(report, sentMillis);
            broadcast(router -> ((PlanningRouter) router).receive(report));
        }

        private void receive(CopyReport report) {
            // The fastest of earlier reports took 30 ms.
            ages.ageMillis(report.router(), 0, 30);
            turns.record(report, (long) now - ages.ageMillis(report.router(), report.sentMillis(), (long) now));
        }
    }
}
