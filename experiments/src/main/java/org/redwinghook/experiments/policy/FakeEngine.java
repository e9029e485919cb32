package org.redwinghook.experiments.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * A model engine in virtual time with continuous batching: slots, memory in tokens, chunked prefill, a prefix cache,
 * decode steps that slow down with batch size and memory pressure, preemption when the memory is full, and a cold start
 * that takes little load.
 */
final class FakeEngine implements FakeEndpoint {

    static final int SLOTS = 48;
    static final int MEMORY_TOKENS = 96_000;

    private static final double STEP_MICROS = 16_000;
    private static final double STEP_MICROS_PER_SEQUENCE = 450;
    private static final double STEP_MICROS_PER_PREFILL_TOKEN = 60;
    private static final int PREFILL_TOKENS_PER_STEP = 512;

    /** Share of the memory from which steps slow down, and the slow-down of a step at full memory. */
    private static final double PRESSURE_FROM = 0.9;

    private static final double PRESSURE_FACTOR = 6;

    /** Sequences that a cold engine takes; more slow it down, and a new one beyond four times as many fails it. */
    private static final double COLD_SEQUENCES = 4;

    private static final double FAILURE_FACTOR = 4;
    private static final double WARM_AFTER_TOKENS = 6_000;
    private static final long RESTART_MICROS = 10 * Timeline.SECOND;
    private static final int CACHED_PREFIXES = 12;

    private final EventQueue events;
    private final EndpointObserver observer;
    private final Deque<RequestRun> waiting = new ArrayDeque<>();
    private final List<RequestRun> running = new ArrayList<>();
    private final Deque<Long> prefixes = new ArrayDeque<>();
    private int usedTokens;
    private double tokensSinceStart;
    private int starts;
    private boolean stepping;
    private boolean restarting;

    FakeEngine(EventQueue events, EndpointObserver observer) {
        this.events = events;
        this.observer = observer;
    }

    @Override
    public void start(RequestRun run) {
        if (restarting) {
            events.after(1, () -> observer.failed(run));
            return;
        }
        waiting.add(run);
        if (running.size() > FAILURE_FACTOR * capacity()) {
            crash();
            return;
        }
        wake();
    }

    @Override
    public void turnCold() {
        tokensSinceStart = 0;
    }

    private void wake() {
        if (!stepping && !restarting) {
            stepping = true;
            events.after(0, this::beginStep);
        }
    }

    private void beginStep() {
        dropLate();
        fillBatch();
        if (running.isEmpty()) {
            stepping = false;
            return;
        }
        int prefilled = prefill();
        List<RequestRun> decoding =
                running.stream().filter(run -> run.prefillTokens() == 0).toList();
        int current = starts;
        events.after(stepMicros(decoding.size(), prefilled), () -> {
            if (current == starts) {
                endStep(decoding);
            }
        });
    }

    private long stepMicros(int decoding, int prefilled) {
        double share = (double) usedTokens / MEMORY_TOKENS;
        double pressure = 1 + PRESSURE_FACTOR * Math.max(0, share - PRESSURE_FROM);
        double cold = Math.max(1, running.size() / capacity());
        double micros = STEP_MICROS + STEP_MICROS_PER_SEQUENCE * decoding + STEP_MICROS_PER_PREFILL_TOKEN * prefilled;
        return (long) (micros * pressure * cold * cold);
    }

    private double capacity() {
        double warm = Math.min(1, tokensSinceStart / WARM_AFTER_TOKENS);
        return COLD_SEQUENCES + warm * (SLOTS - COLD_SEQUENCES);
    }

    private void endStep(List<RequestRun> decoding) {
        for (RequestRun run : decoding) {
            if (!running.contains(run)) {
                continue;
            }
            usedTokens++;
            tokensSinceStart++;
            run.token(events.nowMicros());
            observer.token(run);
            if (run.complete()) {
                running.remove(run);
                usedTokens -= run.memoryTokens();
                observer.finished(run);
            } else if (usedTokens > MEMORY_TOKENS) {
                preemptNewest();
            }
        }
        beginStep();
    }

    /** The newest generation has the least work to repeat. */
    private void preemptNewest() {
        RequestRun newest = running.remove(running.size() - 1);
        usedTokens -= newest.memoryTokens();
        waiting.addFirst(newest);
        observer.preempted(newest);
    }

    private void fillBatch() {
        while (!waiting.isEmpty()
                && running.size() < SLOTS
                && usedTokens + waiting.element().memoryTokens() <= MEMORY_TOKENS) {
            RequestRun run = waiting.remove();
            int cached = run.generated() == 0 && useCachedPrefix(run.request().prefix())
                    ? run.request().prefixTokens()
                    : 0;
            run.setPrefillTokens(run.memoryTokens() - cached);
            usedTokens += run.memoryTokens();
            running.add(run);
        }
    }

    private boolean useCachedPrefix(long prefix) {
        boolean cached = prefixes.remove(prefix);
        prefixes.addFirst(prefix);
        if (prefixes.size() > CACHED_PREFIXES) {
            prefixes.removeLast();
        }
        return cached;
    }

    private int prefill() {
        int budget = PREFILL_TOKENS_PER_STEP;
        for (RequestRun run : running) {
            int chunk = Math.min(budget, run.prefillTokens());
            run.setPrefillTokens(run.prefillTokens() - chunk);
            budget -= chunk;
            if (budget == 0) {
                break;
            }
        }
        return PREFILL_TOKENS_PER_STEP - budget;
    }

    private void dropLate() {
        List<RequestRun> late = waiting.stream()
                .filter(run -> run.generated() == 0 && run.deadlineMicros() <= events.nowMicros())
                .toList();
        waiting.removeAll(late);
        late.forEach(observer::failed);
    }

    private void crash() {
        List<RequestRun> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        prefixes.clear();
        usedTokens = 0;
        tokensSinceStart = 0;
        stepping = false;
        starts++;
        restarting = true;
        events.after(RESTART_MICROS, () -> restarting = false);
        observer.crashed();
        lost.forEach(observer::failed);
    }
}
