package org.redwinghook.runtime.config;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.redwinghook.core.config.FoldResult;

/** Counters of {@link LogConfigurationFollower}. */
final class FollowerMetrics {

    private final MeterRegistry registry;
    private final Counter polls;
    private final Counter pollFailures;
    private final Counter pulls;
    private final Counter undecodableRecords;
    private final Counter snapshots;

    FollowerMetrics(MeterRegistry registry) {
        this.registry = registry;
        polls = registry.counter("redwinghook.configuration.polls");
        pollFailures = registry.counter("redwinghook.configuration.poll.failures");
        pulls = registry.counter("redwinghook.configuration.pulls");
        undecodableRecords = registry.counter("redwinghook.configuration.undecodable.records");
        snapshots = registry.counter("redwinghook.configuration.carries");
    }

    void recordPoll() {
        polls.increment();
    }

    void recordPollFailure() {
        pollFailures.increment();
    }

    void recordPull() {
        pulls.increment();
    }

    void recordUndecodable() {
        undecodableRecords.increment();
    }

    void recordSnapshot() {
        snapshots.increment();
    }

    void recordResult(FoldResult result) {
        registry.counter("redwinghook.configuration.records", "result", result.name())
                .increment();
    }
}
