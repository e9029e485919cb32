package org.redwinghook.router.metrics;

import java.time.Duration;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import org.redwinghook.core.message.RefusalReason;

/** Counters and timers of deliveries. */
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
     * Creates the meters.
     *
     * @param registry where they are registered
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

    /** A generation was requested. */
    public void recordGenerationRequest() {
        generations.increment();
    }

    /** A call was requested. */
    public void recordCallRequest() {
        calls.increment();
    }

    /** A request is tried at another endpoint. */
    public void recordRetry() {
        retries.increment();
    }

    /** A generation is resumed at its sidecar. */
    public void recordResume() {
        resumes.increment();
    }

    /** A generation was cut after its first token. */
    public void recordInterruption() {
        interruptions.increment();
    }

    /** A caller was told that its request may have run. */
    public void recordUnknownOutcome() {
        unknownOutcomes.increment();
    }

    /** A message came for an exchange that has ended or never was. */
    public void recordDroppedMessage() {
        droppedMessages.increment();
    }

    /** The owner router of a customer's quota did not answer in time. */
    public void recordQuotaFallback() {
        quotaFallbacks.increment();
    }

    /**
     * A caller was refused.
     *
     * @param reason why
     */
    public void recordRefusal(RefusalReason reason) {
        Counter counter = refusals.get(reason);
        if (counter != null) {
            counter.increment();
        }
    }

    /**
     * The first token of a request arrived.
     *
     * @param nanos time since the request, in nanoseconds
     */
    public void firstToken(long nanos) {
        firstToken.record(Duration.ofNanos(nanos));
    }

    /**
     * Later tokens of a request arrived.
     *
     * @param nanos time since the tokens before, in nanoseconds
     */
    public void tokenGap(long nanos) {
        tokenGap.record(Duration.ofNanos(nanos));
    }
}
