package org.redwinghook.sidecar.engine;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import org.redwinghook.core.engine.CommandResult;

/** Counters of engine commands. */
public final class CommandMetrics {

    private final Counter sent;
    private final Counter applied;
    private final Counter refused;
    private final Counter failed;
    private final Counter readFailures;

    /**
     * Creates the counters.
     *
     * @param registry registry of the counters
     */
    public CommandMetrics(MeterRegistry registry) {
        sent = registry.counter("redwinghook.engine.commands.sent");
        applied = registry.counter("redwinghook.engine.commands.applied");
        refused = registry.counter("redwinghook.engine.commands.refused");
        failed = registry.counter("redwinghook.engine.commands.failed");
        readFailures = registry.counter("redwinghook.engine.state.read.failures");
    }

    void recordSent() {
        sent.increment();
    }

    void recordResult(CommandResult result) {
        switch (result) {
            case APPLIED -> applied.increment();
            case REFUSED -> refused.increment();
            case FAILED -> failed.increment();
            default -> throw new IllegalStateException("unknown command result");
        }
    }

    void recordReadFailure() {
        readFailures.increment();
    }
}
