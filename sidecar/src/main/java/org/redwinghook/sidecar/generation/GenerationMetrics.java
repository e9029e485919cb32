package org.redwinghook.sidecar.generation;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of generations. */
public final class GenerationMetrics {

    private final Counter started;
    private final Counter refused;
    private final Counter finished;
    private final Counter interrupted;
    private final Counter cancelled;
    private final Counter resumed;
    private final Counter tokens;
    private final Counter pauses;

    /**
     * Creates the counters.
     *
     * @param registry registry of the counters
     */
    public GenerationMetrics(MeterRegistry registry) {
        started = registry.counter("redwinghook.generations.started");
        refused = registry.counter("redwinghook.generations.refused");
        finished = registry.counter("redwinghook.generations.finished");
        interrupted = registry.counter("redwinghook.generations.interrupted");
        cancelled = registry.counter("redwinghook.generations.cancelled");
        resumed = registry.counter("redwinghook.generations.resumed");
        tokens = registry.counter("redwinghook.generations.tokens");
        pauses = registry.counter("redwinghook.generations.pauses");
    }

    void recordStart() {
        started.increment();
    }

    void recordRefusal() {
        refused.increment();
    }

    void recordFinish() {
        finished.increment();
    }

    void recordInterruption() {
        interrupted.increment();
    }

    void recordCancellation() {
        cancelled.increment();
    }

    void recordResume() {
        resumed.increment();
    }

    void recordToken() {
        tokens.increment();
    }

    void recordPause() {
        pauses.increment();
    }
}
