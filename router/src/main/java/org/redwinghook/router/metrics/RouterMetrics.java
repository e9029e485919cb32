package org.redwinghook.router.metrics;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.redwinghook.core.message.RefusalReason;

/** Counters and timers of a router's requests and deliveries. */
public final class RouterMetrics {

    private final Counter generations;
    private final Counter calls;
    private final Counter retries;
    private final Counter resumes;
    private final Counter interruptions;
    private final Counter unknownOutcomes;
    private final Counter droppedMessages;
    private final Counter quotaFallbacks;
    private final Timer firstToken;
    private final Timer tokenGap;
    private final Map<RefusalReason, Counter> refusals = new EnumMap<>(RefusalReason.class);

    /**
     * Creates and registers the meters.
     *
     * @param registry registry of the meters
     */
    public RouterMetrics(MeterRegistry registry) {
        generations = registry.counter("redwinghook.router.requests", "kind", "generation");
        calls = registry.counter("redwinghook.router.requests", "kind", "call");
        retries = registry.counter("redwinghook.router.retries");
        resumes = registry.counter("redwinghook.router.resumes");
        interruptions = registry.counter("redwinghook.router.interruptions");
        unknownOutcomes = registry.counter("redwinghook.router.unknown.outcomes");
        droppedMessages = registry.counter("redwinghook.router.dropped.messages");
        quotaFallbacks = registry.counter("redwinghook.router.quota.fallbacks");
        firstToken = registry.timer("redwinghook.router.first.token");
        tokenGap = registry.timer("redwinghook.router.token.gap");
        for (RefusalReason reason : RefusalReason.values()) {
            String name = reason.name().toLowerCase(Locale.ROOT);
            refusals.put(reason, registry.counter("redwinghook.router.refusals", "reason", name));
        }
    }

    /** Counts a requested generation. */
    public void recordGenerationRequest() {
        generations.increment();
    }

    /** Counts a requested call. */
    public void recordCallRequest() {
        calls.increment();
    }

    /** Counts a retry of a request at another endpoint. */
    public void recordRetry() {
        retries.increment();
    }

    /** Counts an attempt to resume a generation at its sidecar. */
    public void recordResume() {
        resumes.increment();
    }

    /** Counts a generation that was interrupted. */
    public void recordInterruption() {
        interruptions.increment();
    }

    /** Counts a request with an unknown outcome. */
    public void recordUnknownOutcome() {
        unknownOutcomes.increment();
    }

    /** Counts a message for an exchange that has ended or is unknown. */
    public void recordDroppedMessage() {
        droppedMessages.increment();
    }

    /**
     * Counts a request that was decided by the local share because the owner router was unreachable or did not answer
     * in time.
     */
    public void recordQuotaFallback() {
        quotaFallbacks.increment();
    }

    /**
     * Counts a refused request.
     *
     * @param reason reason for the refusal
     */
    public void recordRefusal(RefusalReason reason) {
        Counter counter = refusals.get(reason);
        if (counter != null) {
            counter.increment();
        }
    }

    /**
     * Records the time until the first token of a request.
     *
     * @param nanos time since the start of the request, in nanoseconds
     */
    public void recordFirstToken(long nanos) {
        firstToken.record(Duration.ofNanos(nanos));
    }

    /**
     * Records the time between successive tokens of a request.
     *
     * @param nanos time since the previous tokens, in nanoseconds
     */
    public void recordTokenGap(long nanos) {
        tokenGap.record(Duration.ofNanos(nanos));
    }
}
