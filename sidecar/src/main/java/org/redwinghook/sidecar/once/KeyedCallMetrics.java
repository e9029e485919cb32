package org.redwinghook.sidecar.once;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of keyed calls. */
public final class KeyedCallMetrics {

    private final Counter appends;
    private final Counter appendFailures;
    private final Counter readFailures;
    private final Counter undecodable;
    private final Counter runs;
    private final Counter answers;
    private final Counter replays;
    private final Counter notRun;
    private final Counter conflicts;
    private final Counter unknown;
    private final Counter questions;

    /**
     * Creates the counters.
     *
     * @param registry registry of the counters
     */
    public KeyedCallMetrics(MeterRegistry registry) {
        appends = registry.counter("redwinghook.once.appends");
        appendFailures = registry.counter("redwinghook.once.append.failures");
        readFailures = registry.counter("redwinghook.once.read.failures");
        undecodable = registry.counter("redwinghook.once.undecodable.records");
        runs = registry.counter("redwinghook.once.runs");
        answers = registry.counter("redwinghook.once.answers");
        replays = registry.counter("redwinghook.once.replays");
        notRun = registry.counter("redwinghook.once.not.run");
        conflicts = registry.counter("redwinghook.once.conflicts");
        unknown = registry.counter("redwinghook.once.unknown");
        questions = registry.counter("redwinghook.once.questions");
    }

    void recordAppend() {
        appends.increment();
    }

    void recordAppendFailure() {
        appendFailures.increment();
    }

    void recordReadFailure() {
        readFailures.increment();
    }

    void recordUndecodable() {
        undecodable.increment();
    }

    void recordRun() {
        runs.increment();
    }

    void recordAnswer(boolean replayed) {
        (replayed ? replays : answers).increment();
    }

    void recordNotRun() {
        notRun.increment();
    }

    void recordConflict() {
        conflicts.increment();
    }

    void recordUnknown() {
        unknown.increment();
    }

    void recordQuestion() {
        questions.increment();
    }
}
