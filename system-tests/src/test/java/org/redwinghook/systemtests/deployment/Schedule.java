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
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.Guarantee;
import org.redwinghook.systemtests.history.History;
import org.redwinghook.systemtests.history.TimeBounds;
import org.redwinghook.systemtests.history.Violation;

/** Random requests and faults, generated from a seed, that run on a deployment of their own and are checked. */
public final class Schedule {

    private static final int MINIMUM_DURATION_MILLIS = 1_000;

    /** Upper bound of the random time that is added to the minimum duration. */
    private static final int DURATION_SPREAD_MILLIS = 1_000;

    private static final int REQUEST_COUNT = 30;
    private static final int MAXIMUM_FAULTS = 4;

    /** Schedules whose seed is a multiple of this number inject tolerated faults only. */
    private static final int TOLERATED_FAULTS_SEED_INTERVAL = 3;

    private static final int MAXIMUM_FAULT_MILLIS = 700;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final long COMPLETION_TIMEOUT_MILLIS = 30_000;

    private final long seed;
    private final Random random;
    private final boolean toleratedFaultsOnly;
    private final History history = new History();
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ConcurrentLinkedQueue<Future<?>> tasks = new ConcurrentLinkedQueue<>();
    private final List<Step> steps = new ArrayList<>();
    private final List<String> problems = new ArrayList<>();
    private int completedAnswers;

    /**
     * Creates a schedule.
     *
     * @param seed seed of the random requests and faults
     */
    public Schedule(long seed) {
        this.seed = seed;
        this.random = new Random(seed);
        this.toleratedFaultsOnly = seed % TOLERATED_FAULTS_SEED_INTERVAL == 0;
    }

    /**
     * Runs the schedule and checks all guarantees.
     *
     * @return the violations and failures, preceded by the seed and the steps; empty if all guarantees held
     */
    public List<String> run() {
        try (Deployment deployment = new Deployment(history, ColdStart.NONE)) {
            Caller caller = new Caller(history, deployment.vms(null));
            deployment.start();
            warmUp(caller);
            addRandomSteps(new Fault.Context(deployment, history, caller, toleratedFaultsOnly));
            long start = Deployment.nowMillis();
            for (Step step : steps) {
                Deployment.sleep(Math.max(0, start + step.atMillis() - Deployment.nowMillis()));
                tasks.add(executor.submit(step.action()));
            }
            awaitCompletion(deployment);
            deployment.recordEndpointEvents();
        } finally {
            executor.shutdownNow();
        }
        for (Violation violation : Guarantee.allViolations(history, TimeBounds.TARGET)) {
            problems.add(violation.guarantee() + ": " + violation.description());
        }
        if (!problems.isEmpty()) {
            problems.add(0, "seed " + seed + ": " + steps);
        }
        return List.copyOf(problems);
    }

    /**
     * Returns the number of completed answers, which exposes runs that test nothing.
     *
     * @return the number of completed answers
     */
    public int completedAnswers() {
        return completedAnswers;
    }

    private void warmUp(Caller caller) {
        for (int router = 0; router < 2; router++) {
            int currentRouter = router;
            boolean isServing = Deployment.await(
                    COMPLETION_TIMEOUT_MILLIS,
                    () -> caller.generate("warm-" + currentRouter + "-" + System.nanoTime(), 1, false, currentRouter)
                                    == Caller.RequestOutcome.COMPLETED
                            && caller.order(
                                            "warm-" + System.nanoTime(),
                                            "warm-" + System.nanoTime(),
                                            null,
                                            currentRouter)
                                    == Caller.RequestOutcome.COMPLETED);
            if (!isServing) {
                problems.add("router " + currentRouter + " did not complete the warm-up requests");
            }
        }
    }

    private void addRandomSteps(Fault.Context faultContext) {
        int durationMillis = MINIMUM_DURATION_MILLIS + random.nextInt(DURATION_SPREAD_MILLIS);
        for (int number = 0; number < REQUEST_COUNT; number++) {
            addRandomRequest(faultContext.caller(), number, random.nextInt(durationMillis));
        }
        int faultCount = 1 + random.nextInt(MAXIMUM_FAULTS);
        long atMillis = random.nextInt(durationMillis);
        for (int number = 0; number < faultCount; number++) {
            addRandomFault(faultContext, atMillis);
            // A fault starts together with the previous one in half of all cases.
            atMillis = random.nextBoolean() ? atMillis : random.nextInt(durationMillis);
        }
        steps.sort(Comparator.comparingLong(Step::atMillis));
    }

    private void addRandomRequest(Caller caller, int number, long atMillis) {
        int router = random.nextInt(2);
        int requestKind = random.nextInt(6);
        String name = "request-" + number;
        switch (requestKind) {
            case 0 -> addRequest(atMillis, "long", () -> caller.generate(name, 250, true, router));
            case 1 -> addRequest(atMillis, "stream", () -> caller.generate(name, 30, true, router));
            case 2 -> addRequest(atMillis, "unstreamed", () -> caller.generate(name, 30, false, router));
            case 3 -> addRequest(atMillis, "lookup", () -> caller.lookUp(name, router));
            case 4 -> addRequest(atMillis, "order", () -> caller.order(name, name, null, router));
            default -> {
                boolean isDuplicated = random.nextBoolean();
                addRequest(atMillis, "keyed", () -> keyedOrder(caller, name, "a", router));
                if (isDuplicated) {
                    addRequest(
                            atMillis + random.nextInt(200),
                            "duplicate",
                            () -> keyedOrder(caller, name, "b", router + 1));
                }
            }
        }
    }

    /** Sends an order and retries it under the same key through alternating routers. */
    private static Caller.RequestOutcome keyedOrder(Caller caller, String operation, String suffix, int router) {
        Caller.RequestOutcome outcome = Caller.RequestOutcome.NOT_SENT;
        for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && outcome != Caller.RequestOutcome.COMPLETED; attempt++) {
            outcome = caller.order(operation + suffix + attempt, operation, "key-" + operation, router + attempt);
        }
        return outcome;
    }

    private void addRandomFault(Fault.Context faultContext, long atMillis) {
        List<Fault> candidates = List.of(Fault.values()).stream()
                .filter(fault -> !toleratedFaultsOnly || fault.isTolerated())
                .toList();
        Fault fault = candidates.get(random.nextInt(candidates.size()));
        long faultSeed = random.nextLong();
        long durationMillis = random.nextInt(MAXIMUM_FAULT_MILLIS);
        steps.add(new Step(atMillis, fault.name() + "/" + durationMillis, () -> {
            Runnable endFault = fault.inject(faultContext, new Random(faultSeed));
            Deployment.sleep(durationMillis);
            endFault.run();
        }));
    }

    private void addRequest(long atMillis, String name, Supplier<Caller.RequestOutcome> request) {
        steps.add(new Step(atMillis, name, () -> {
            if (request.get() == Caller.RequestOutcome.COMPLETED) {
                countCompletedAnswer();
            }
        }));
    }

    private synchronized void countCompletedAnswer() {
        completedAnswers++;
    }

    /** Waits until all steps have ended, then publishes a final change, which must come into force in every process. */
    private void awaitCompletion(Deployment deployment) {
        long deadlineMillis = Deployment.nowMillis() + COMPLETION_TIMEOUT_MILLIS;
        for (Future<?> task : tasks) {
            try {
                task.get(Math.max(1, deadlineMillis - Deployment.nowMillis()), TimeUnit.MILLISECONDS);
            } catch (TimeoutException exception) {
                problems.add("a step did not end within " + COMPLETION_TIMEOUT_MILLIS + " ms");
            } catch (ExecutionException exception) {
                problems.add("a step failed: " + exception.getCause());
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        deployment.publish("owners", Map.of("acme", "{\"weight\": 2}"));
        List<Event.ChangeAccepted> accepted = history.eventsOf(Event.ChangeAccepted.class);
        Event.ChangeAccepted lastChange = accepted.get(accepted.size() - 1);
        Deployment.await(
                TimeBounds.TARGET.maximumPropagationMillis(),
                () -> history.eventsOf(Event.VersionInForce.class).stream()
                                .filter(event -> event.section().equals(lastChange.section()))
                                .filter(event -> event.version() >= lastChange.version())
                                .map(Event.VersionInForce::process)
                                .distinct()
                                .count()
                        == deployment.processCount());
    }

    private record Step(long atMillis, String name, Runnable action) {

        @Override
        public String toString() {
            return atMillis + ":" + name;
        }
    }
}
