package org.redwinghook.router.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.quarantine.MergedEvidence;
import org.redwinghook.core.quarantine.PartSuccess;
import org.redwinghook.core.quarantine.PartTrial;
import org.redwinghook.core.quarantine.PromptAdmission;
import org.redwinghook.core.quarantine.PromptQuarantine;
import org.redwinghook.core.quarantine.QuarantineEvidence;
import org.redwinghook.core.quarantine.QuarantinedPart;
import org.redwinghook.core.quarantine.SuspectRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Keeps requests whose prompts crash endpoints away from them; shares what it learns with the other routers. */
final class PromptGuard {

    private static final Logger LOGGER = LoggerFactory.getLogger(PromptGuard.class);

    private static final int MAXIMUM_LOGGED_PARTS = 64;

    private final PromptQuarantine quarantine;
    private final MonotonicClock clock;
    private final ForwardMetrics metrics;
    private Consumer<QuarantineEvidence> evidenceHandler = evidence -> {};
    private Consumer<QuarantinedPart> quarantineHandler = part -> {};
    private Map<String, QuarantinedPart> loggedParts = Map.of();

    PromptGuard(PromptQuarantine quarantine, MonotonicClock clock, ForwardMetrics metrics) {
        this.quarantine = quarantine;
        this.clock = clock;
        this.metrics = metrics;
    }

    /**
     * Sets the handler of what this router learns.
     *
     * @param handler sends the evidence to the other routers
     */
    void onEvidence(Consumer<QuarantineEvidence> handler) {
        evidenceHandler = handler;
    }

    /**
     * Sets the handler of parts that are quarantined.
     *
     * @param handler withdraws requests with the part from endpoints
     */
    void onQuarantine(Consumer<QuarantinedPart> handler) {
        quarantineHandler = handler;
    }

    /**
     * Decides whether a request may be sent.
     *
     * @param caller exchange with the caller
     * @return the decision
     */
    PromptAdmission admit(CallerExchange caller) {
        PromptAdmission admission =
                quarantine.admit(caller.requestId(), caller.head().sharedParts(), clock.millis());
        logChanges();
        QuarantinedPart rejectedFor = admission.rejectedFor();
        if (rejectedFor != null) {
            LOGGER.info(
                    "quarantined part rejected id={} part={} crashes={} endpoints={} ageMillis={} trials={}"
                            + " retryAfterMillis={}",
                    caller.requestId(),
                    rejectedFor.part(),
                    rejectedFor.crashedEndpoints().size(),
                    rejectedFor.crashedEndpoints(),
                    clock.millis() - rejectedFor.firstCrashMillis(),
                    rejectedFor.trials(),
                    admission.retryAfterMillis());
            return admission;
        }
        for (PartTrial trial : admission.trials()) {
            LOGGER.info("quarantine trial id={} part={}", trial.requestId(), trial.part());
            metrics.recordQuarantine("trial");
        }
        share(new QuarantineEvidence(List.of(), List.of(), admission.trials()));
        return admission;
    }

    /**
     * Records that a trial ended without an endpoint that received or ran it.
     *
     * @param caller exchange with the caller
     */
    void recordUnusedTrial(CallerExchange caller) {
        QuarantineEvidence evidence =
                quarantine.recordUnusedTrial(caller.requestId(), caller.head().sharedParts(), clock.millis());
        if (evidence.isEmpty()) {
            return;
        }
        LOGGER.info("quarantine trial unused id={}", caller.requestId());
        share(evidence);
    }

    /**
     * Records that an endpoint closed the connection of a request whose answer had not begun.
     *
     * @param caller exchange with the caller
     * @param endpoint the endpoint
     * @param sentAtMillis time at which the request was sent
     */
    void recordCrash(CallerExchange caller, EndpointEntry endpoint, long sentAtMillis) {
        List<String> parts = caller.head().sharedParts();
        QuarantineEvidence evidence = quarantine.recordCrash(
                endpoint.incarnation(), new SuspectRequest(caller.requestId(), parts, sentAtMillis), clock.millis());
        if (evidence.isEmpty()) {
            LOGGER.info(
                    "crash suspect left out id={} endpoint={} partCount={}",
                    caller.requestId(),
                    endpoint.incarnation(),
                    parts.size());
            return;
        }
        LOGGER.info(
                "crash suspect id={} endpoint={} partCount={} parts={} soundParts={}",
                caller.requestId(),
                endpoint.incarnation(),
                parts.size(),
                parts.subList(0, Math.min(parts.size(), MAXIMUM_LOGGED_PARTS)),
                evidence.successes().stream()
                        .map(PartSuccess::part)
                        .limit(MAXIMUM_LOGGED_PARTS)
                        .toList());
        metrics.recordQuarantine("suspect");
        share(evidence);
    }

    /**
     * Records that an endpoint produced an answer to a request.
     *
     * @param caller exchange with the caller
     */
    void recordSuccess(CallerExchange caller) {
        share(quarantine.recordSuccess(caller.head().sharedParts(), clock.millis()));
    }

    /**
     * Records a part of a response.
     *
     * @param endpoint the endpoint
     * @param sentAtMillis time at which the request was sent
     */
    void recordResponse(EndpointEntry endpoint, long sentAtMillis) {
        if (quarantine.hasCrashes()) {
            share(quarantine.recordResponse(endpoint.incarnation(), sentAtMillis, clock.millis()));
        }
    }

    /**
     * Merges evidence of another router.
     *
     * @param evidence the evidence, with times relative to now
     * @return what was new, and a reply
     */
    MergedEvidence merge(QuarantineEvidence evidence) {
        MergedEvidence merged = quarantine.merge(evidence.shiftedBy(clock.millis()), clock.millis());
        logChanges();
        return merged;
    }

    /**
     * All that another router needs to reach the same conclusions.
     *
     * @return the evidence
     */
    QuarantineEvidence evidence() {
        return quarantine.evidence(clock.millis());
    }

    /** Forgets evidence that is too old. */
    void expire() {
        quarantine.expire(clock.millis());
        logChanges();
    }

    /**
     * Number of parts in quarantine.
     *
     * @return the number
     */
    int quarantinedParts() {
        return quarantine.quarantinedParts().size();
    }

    private void share(QuarantineEvidence evidence) {
        if (evidence.isEmpty()) {
            return;
        }
        logChanges();
        evidenceHandler.accept(evidence);
    }

    private void logChanges() {
        if (loggedParts.isEmpty() && quarantine.quarantinedParts().isEmpty()) {
            return;
        }
        Map<String, QuarantinedPart> previous = loggedParts;
        Map<String, QuarantinedPart> current = new LinkedHashMap<>();
        quarantine.quarantinedParts().forEach(part -> current.put(part.part(), part));
        for (QuarantinedPart part : current.values()) {
            if (!previous.containsKey(part.part())) {
                LOGGER.warn(
                        "part quarantined part={} crashes={} endpoints={} ageMillis={} trials={} nextTrialMillis={}",
                        part.part(),
                        part.crashedEndpoints().size(),
                        part.crashedEndpoints(),
                        clock.millis() - part.firstCrashMillis(),
                        part.trials(),
                        part.nextTrialMillis() - clock.millis());
                metrics.recordQuarantine("quarantined");
            }
        }
        for (QuarantinedPart part : previous.values()) {
            if (!current.containsKey(part.part())) {
                LOGGER.warn(
                        "part released part={} crashes={} ageMillis={} trials={}",
                        part.part(),
                        part.crashedEndpoints().size(),
                        clock.millis() - part.firstCrashMillis(),
                        part.trials());
                metrics.recordQuarantine("released");
            }
        }
        loggedParts = current;
        current.values().stream()
                .filter(part -> !previous.containsKey(part.part()))
                .forEach(quarantineHandler);
    }
}
