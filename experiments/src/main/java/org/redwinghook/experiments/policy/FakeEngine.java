package org.redwinghook.experiments.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Simulation of a model engine with continuous batching: batch slots, memory in tokens, chunked prefill, a prefix
 * cache, decode steps that slow down with batch size and memory pressure, preemption when the memory is full, and
 * reduced capacity after a cold start.
 */
final class FakeEngine implements FakeEndpoint {

    /** Maximum number of sequences in a batch. */
    static final int SLOTS = 48;

    static final int MEMORY_TOKENS = 96_000;

    private static final double STEP_MICROS = 16_000;
    private static final double STEP_MICROS_PER_SEQUENCE = 450;
    private static final double STEP_MICROS_PER_PREFILL_TOKEN = 60;
    private static final int PREFILL_TOKENS_PER_STEP = 512;

    /** Used share of the memory above which steps slow down. */
    private static final double MEMORY_PRESSURE_THRESHOLD = 0.9;

    /** Relative slowdown of a step for each unit of the used share above the threshold. */
    private static final double MEMORY_PRESSURE_SLOPE = 6;

    /** Sequences that a cold engine runs at full speed; further ones slow it down. */
    private static final double COLD_CAPACITY_SEQUENCES = 4;

    /** The engine crashes if a request arrives while it runs more than four times its current capacity. */
    private static final double CRASH_LOAD_FACTOR = 4;

    /** Generated tokens after which the engine has its full capacity. */
    private static final double WARM_UP_TOKENS = 6_000;

    private static final long RESTART_DURATION_MICROS = 10 * Timeline.SECOND_MICROS;
    private static final int MAXIMUM_CACHED_PREFIXES = 12;

    private final EventQueue events;
    private final EndpointObserver observer;
    private final Deque<RequestRun> waiting = new ArrayDeque<>();
    private final List<RequestRun> running = new ArrayList<>();
    private final Deque<Long> cachedPrefixes = new ArrayDeque<>();
    private int usedTokens;
    private double tokensSinceStart;
    private int incarnation;
    private boolean isStepping;
    private boolean isRestarting;

    FakeEngine(EventQueue events, EndpointObserver observer) {
        this.events = events;
        this.observer = observer;
    }

    @Override
    public void start(RequestRun run) {
        if (isRestarting) {
            events.scheduleAfter(1, () -> observer.onFailed(run));
            return;
        }
        waiting.add(run);
        if (running.size() > CRASH_LOAD_FACTOR * sequenceCapacity()) {
            crash();
            return;
        }
        startStepping();
    }

    @Override
    public void turnCold() {
        tokensSinceStart = 0;
    }

    private void startStepping() {
        if (!isStepping && !isRestarting) {
            isStepping = true;
            events.scheduleAfter(0, this::beginStep);
        }
    }

    private void beginStep() {
        failExpired();
        fillBatch();
        if (running.isEmpty()) {
            isStepping = false;
            return;
        }
        int prefilledTokens = prefill();
        List<RequestRun> decoding =
                running.stream().filter(run -> run.prefillTokens() == 0).toList();
        int stepIncarnation = incarnation;
        events.scheduleAfter(stepMicros(decoding.size(), prefilledTokens), () -> {
            if (stepIncarnation == incarnation) {
                endStep(decoding);
            }
        });
    }

    private long stepMicros(int decodingSequences, int prefilledTokens) {
        double usedShare = (double) usedTokens / MEMORY_TOKENS;
        double pressureFactor = 1 + MEMORY_PRESSURE_SLOPE * Math.max(0, usedShare - MEMORY_PRESSURE_THRESHOLD);
        double coldFactor = Math.max(1, running.size() / sequenceCapacity());
        double baseMicros = STEP_MICROS
                + STEP_MICROS_PER_SEQUENCE * decodingSequences
                + STEP_MICROS_PER_PREFILL_TOKEN * prefilledTokens;
        return (long) (baseMicros * pressureFactor * coldFactor * coldFactor);
    }

    private double sequenceCapacity() {
        double warmShare = Math.min(1, tokensSinceStart / WARM_UP_TOKENS);
        return COLD_CAPACITY_SEQUENCES + warmShare * (SLOTS - COLD_CAPACITY_SEQUENCES);
    }

    private void endStep(List<RequestRun> decoding) {
        for (RequestRun run : decoding) {
            if (!running.contains(run)) {
                continue;
            }
            usedTokens++;
            tokensSinceStart++;
            run.recordToken(events.nowMicros());
            observer.onToken(run);
            if (run.isComplete()) {
                running.remove(run);
                usedTokens -= run.memoryTokens();
                observer.onCompleted(run);
            } else if (usedTokens > MEMORY_TOKENS) {
                preemptNewest();
            }
        }
        beginStep();
    }

    /** Preempts the generation that joined the batch last, since it has the least work to repeat. */
    private void preemptNewest() {
        RequestRun newest = running.remove(running.size() - 1);
        usedTokens -= newest.memoryTokens();
        waiting.addFirst(newest);
        observer.onPreempted(newest);
    }

    private void fillBatch() {
        while (!waiting.isEmpty()
                && running.size() < SLOTS
                && usedTokens + waiting.element().memoryTokens() <= MEMORY_TOKENS) {
            RequestRun run = waiting.remove();
            int cachedTokens =
                    run.generatedTokens() == 0 && touchPrefix(run.request().prefixHash())
                            ? run.request().prefixTokens()
                            : 0;
            run.setPrefillTokens(run.memoryTokens() - cachedTokens);
            usedTokens += run.memoryTokens();
            running.add(run);
        }
    }

    /** Moves a prefix to the front of the cache and returns whether it was cached. */
    private boolean touchPrefix(long prefixHash) {
        boolean wasCached = cachedPrefixes.remove(prefixHash);
        cachedPrefixes.addFirst(prefixHash);
        if (cachedPrefixes.size() > MAXIMUM_CACHED_PREFIXES) {
            cachedPrefixes.removeLast();
        }
        return wasCached;
    }

    private int prefill() {
        int remainingBudget = PREFILL_TOKENS_PER_STEP;
        for (RequestRun run : running) {
            int chunk = Math.min(remainingBudget, run.prefillTokens());
            run.setPrefillTokens(run.prefillTokens() - chunk);
            remainingBudget -= chunk;
            if (remainingBudget == 0) {
                break;
            }
        }
        return PREFILL_TOKENS_PER_STEP - remainingBudget;
    }

    private void failExpired() {
        List<RequestRun> expired = waiting.stream()
                .filter(run -> run.generatedTokens() == 0 && run.deadlineMicros() <= events.nowMicros())
                .toList();
        waiting.removeAll(expired);
        expired.forEach(observer::onFailed);
    }

    private void crash() {
        List<RequestRun> lostRuns = new ArrayList<>(running);
        lostRuns.addAll(waiting);
        running.clear();
        waiting.clear();
        cachedPrefixes.clear();
        usedTokens = 0;
        tokensSinceStart = 0;
        isStepping = false;
        incarnation++;
        isRestarting = true;
        events.scheduleAfter(RESTART_DURATION_MICROS, () -> isRestarting = false);
        observer.onCrashed();
        lostRuns.forEach(observer::onFailed);
    }
}
