package org.redwinghook.systemtests.deployment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import org.redwinghook.standins.engine.ColdStart;
import org.redwinghook.systemtests.history.Bounds;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.Guarantee;
import org.redwinghook.systemtests.history.History;
import org.redwinghook.systemtests.history.Violation;

/** Requests and faults drawn from a seed, run on a deployment of its own and checked. */
public final class Schedule {

    private static final int SHORTEST_MILLIS = 1_000;
    private static final int MORE_MILLIS = 1_000;
    private static final int REQUESTS = 30;
    private static final int MOST_FAULTS = 4;
    private static final int GENTLE_EVERY = 3;
    private static final int LONGEST_FAULT_MILLIS = 700;
    private static final int MOST_ATTEMPTS = 4;
    private static final long SETTLE_MILLIS = 30_000;

    private final long seed;
    private final Random random;
    private final boolean gentle;
    private final History history = new History();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ConcurrentLinkedQueue<Future<?>> tasks = new ConcurrentLinkedQueue<>();
    private final List<Step> steps = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();
    private int wholeAnswers;

    /**
     * Draws a schedule.
     *
     * @param seed the seed
     */
    public Schedule(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
        this.gentle = seed % GENTLE_EVERY == 0;
    }

    /**
     * Runs the schedule.
     *
     * @return what went wrong, with the steps; empty if all guarantees held
     */
    public List<String> run() {
        try (Deployment deployment = new Deployment(history, ColdStart.NONE)) {
            Caller caller = new Caller(history, deployment.vms(null));
            deployment.start();
            warmUp(caller);
            draw(new Fault.Scene(deployment, history, caller, gentle));
            long start = Deployment.now();
            for (Step step : steps) {
                Deployment.pause(Math.max(0, start + step.atMillis() - Deployment.now()));
                tasks.add(executor.submit(step.action()));
            }
            settle(deployment);
            deployment.recordWork();
        } finally {
            executor.shutdownNow();
        }
        for (Violation violation : Guarantee.allViolations(history, Bounds.TARGET)) {
            problems.add(violation.guarantee() + ": " + violation.description());
        }
        if (!problems.isEmpty()) {
            problems.add(0, "seed " + seed + ": " + steps);
        }
        return List.copyOf(problems);
    }

    /**
     * Answers that arrived whole, so that a run that tests nothing is noticed.
     *
     * @return the number of answers
     */
    public int wholeAnswers() {
        return wholeAnswers;
    }

    private void warmUp(Caller caller) {
        for (int router = 0; router < 2; router++) {
            int current = router;
            boolean isServing = Deployment.await(
                    SETTLE_MILLIS,
                    () -> caller.generation("warm-" + current + "-" + System.nanoTime(), 1, false, current)
                                    == Caller.Ending.WHOLE
                            && caller.order("warm-" + System.nanoTime(), "warm-" + System.nanoTime(), null, current)
                                    == Caller.Ending.WHOLE);
            if (!isServing) {
                problems.add("router " + current + " did not serve at the start");
            }
        }
    }

    private void draw(Fault.Scene scene) {
        int millis = SHORTEST_MILLIS + random.nextInt(MORE_MILLIS);
        for (int number = 0; number < REQUESTS; number++) {
            drawRequest(scene.caller(), number, random.nextInt(millis));
        }
        int faults = 1 + random.nextInt(MOST_FAULTS);
        long atMillis = random.nextInt(millis);
        for (int number = 0; number < faults; number++) {
            drawFault(scene, atMillis);
            // Every second fault begins together with the one before.
            atMillis = random.nextBoolean() ? atMillis : random.nextInt(millis);
        }
        steps.sort(Comparator.comparingLong(Step::atMillis));
    }

    private void drawRequest(Caller caller, int number, long atMillis) {
        int router = random.nextInt(2);
        int kind = random.nextInt(6);
        String name = "request-" + number;
        switch (kind) {
            case 0 -> add(atMillis, "long", () -> caller.generation(name, 250, true, router));
            case 1 -> add(atMillis, "stream", () -> caller.generation(name, 30, true, router));
            case 2 -> add(atMillis, "whole", () -> caller.generation(name, 30, false, router));
            case 3 -> add(atMillis, "lookup", () -> caller.lookup(name, router));
            case 4 -> add(atMillis, "order", () -> caller.order(name, name, null, router));
            default -> {
                boolean isTwice = random.nextBoolean();
                add(atMillis, "keyed", () -> keyedOrder(caller, name, "a", router));
                if (isTwice) {
                    add(atMillis + random.nextInt(200), "again", () -> keyedOrder(caller, name, "b", router + 1));
                }
            }
        }
    }

    /** Retries under the same key through alternating routers. */
    private static Caller.Ending keyedOrder(Caller caller, String operation, String suffix, int router) {
        Caller.Ending ending = Caller.Ending.NOT_SENT;
        for (int attempt = 0; attempt < MOST_ATTEMPTS && ending != Caller.Ending.WHOLE; attempt++) {
            ending = caller.order(operation + suffix + attempt, operation, "key-" + operation, router + attempt);
        }
        return ending;
    }

    private void drawFault(Fault.Scene scene, long atMillis) {
        List<Fault> candidates = List.of(Fault.values()).stream()
                .filter(fault -> !gentle || fault.isGentle())
                .toList();
        Fault fault = candidates.get(random.nextInt(candidates.size()));
        long details = random.nextLong();
        long lengthMillis = random.nextInt(LONGEST_FAULT_MILLIS);
        steps.add(new Step(atMillis, fault.name() + "/" + lengthMillis, () -> {
            Runnable end = fault.begin(scene, new Random(details));
            Deployment.pause(lengthMillis);
            end.run();
        }));
    }

    private void add(long atMillis, String name, Supplier<Caller.Ending> request) {
        steps.add(new Step(atMillis, name, () -> {
            if (request.get() == Caller.Ending.WHOLE) {
                countWhole();
            }
        }));
    }

    private synchronized void countWhole() {
        wholeAnswers++;
    }

    /** All faults end by themselves; then every request must end, and a last change must reach every process. */
    private void settle(Deployment deployment) {
        long end = Deployment.now() + SETTLE_MILLIS;
        for (Future<?> task : tasks) {
            try {
                task.get(Math.max(1, end - Deployment.now()), TimeUnit.MILLISECONDS);
            } catch (TimeoutException exception) {
                problems.add("a step did not end within " + SETTLE_MILLIS + " ms");
            } catch (ExecutionException exception) {
                problems.add("a step failed: " + exception.getCause());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        deployment.publish("owners", Map.of("acme", "{\"weight\": 2}"));
        List<Event.ChangeAccepted> accepted = history.of(Event.ChangeAccepted.class);
        Event.ChangeAccepted last = accepted.get(accepted.size() - 1);
        Deployment.await(
                Bounds.TARGET.inForceMillis(),
                () -> history.of(Event.VersionInForce.class).stream()
                                .filter(event -> event.section().equals(last.section()))
                                .filter(event -> event.version() >= last.version())
                                .map(Event.VersionInForce::process)
                                .distinct()
                                .count()
                        == deployment.processes());
    }

    private record Step(long atMillis, String name, Runnable action) {

        @Override
        public String toString() {
            return atMillis + ":" + name;
        }
    }
}
