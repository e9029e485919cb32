package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.quarantine.PromptAdmission;
import org.redwinghook.core.quarantine.QuarantinedPart;

/** Tracks the endpoints tried for one request and decides whether another one may be tried. */
final class RequestAttempts {

    /** Maximum number of endpoints chosen for one request, including those that cannot be reached. */
    private static final int MAXIMUM_TRIED_ENDPOINTS = 4;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final PlacementPolicy policy;
    private final PlacementQuery query;
    private final Set<String> excluded = new HashSet<>();
    private int endedAttempts;
    private int triedEndpoints;
    private boolean mayHaveRun;
    private boolean isTrial;
    private boolean hasAnswered;
    private @Nullable Refusal quarantineRefusal;

    RequestAttempts(ForwardContext context, CallerExchange caller, PlacementPolicy policy, PlacementQuery query) {
        this.context = context;
        this.caller = caller;
        this.policy = policy;
        this.query = query;
    }

    /**
     * Chooses the next endpoint.
     *
     * @return the endpoint, empty if none is available or the maximum number has been tried
     */
    Optional<KnownEndpoint> chooseNextEndpoint() {
        if (triedEndpoints >= MAXIMUM_TRIED_ENDPOINTS) {
            return Optional.empty();
        }
        if (!isAdmitted()) {
            return Optional.empty();
        }
        Optional<KnownEndpoint> chosen = context.selector().choose(caller, policy, query, excluded);
        if (chosen.isPresent()) {
            triedEndpoints++;
        }
        return chosen;
    }

    /**
     * Whether the request may crash its endpoint.
     *
     * @param part part of prompts that crashes endpoints
     * @return true if the request has the part, is no trial and its answer has not begun
     */
    boolean mayCrashEndpoint(String part) {
        return !isTrial && !hasAnswered && caller.head().sharedParts().contains(part);
    }

    /**
     * Records that the request is withdrawn from its endpoint, because a part of its prompt was quarantined.
     *
     * @param attempt the attempt
     * @param part the part
     */
    void recordWithdrawal(EndpointAttempt attempt, QuarantinedPart part) {
        mayHaveRun |= attempt.isSent();
        quarantineRefusal = new Refusal(
                RefusalCause.PROMPT_PART_QUARANTINED,
                Math.max(0, part.nextTrialMillis() - context.clock().millis()));
    }

    /** Whether no part of the prompt is in quarantine; a trial may go on until an endpoint has received it. */
    private boolean isAdmitted() {
        if (isTrial && !mayHaveRun) {
            return true;
        }
        PromptAdmission admission = context.promptGuard().admit(caller);
        if (admission.rejectedFor() != null) {
            quarantineRefusal = new Refusal(RefusalCause.PROMPT_PART_QUARANTINED, admission.retryAfterMillis());
            return false;
        }
        isTrial = !admission.trials().isEmpty();
        return true;
    }

    /**
     * Refusal when no further endpoint can be chosen.
     *
     * @param cause cause to report unless a part of the prompt is in quarantine
     * @param retryAfterMillis suggested retry delay with this cause
     * @return the refusal to report to the caller
     */
    Refusal refusal(RefusalCause cause, long retryAfterMillis) {
        Refusal ofQuarantine = quarantineRefusal;
        if (ofQuarantine != null) {
            return ofQuarantine;
        }
        // Without an endpoint that may be asked now, the end of the shortest pause is the time to come back.
        long untilReturnMillis = context.notices()
                .millisUntilReturn(caller.service(), context.clock().millis())
                .orElse(retryAfterMillis);
        return new Refusal(cause, Math.max(retryAfterMillis, untilReturnMillis));
    }

    /**
     * Cause of a refusal when no further endpoint can be chosen.
     *
     * @return the cause to report to the caller
     */
    RefusalCause refusalCause() {
        return triedEndpoints > 0 ? RefusalCause.ENDPOINTS_FULL : RefusalCause.NO_ENDPOINT;
    }

    /**
     * Whether the attempt limit of the route allows one more endpoint.
     *
     * @param attemptsInProgress attempts that were sent and have not ended
     * @return false if the request has been sent to as many endpoints as the route allows
     */
    boolean allowsRetry(int attemptsInProgress) {
        return endedAttempts + attemptsInProgress < caller.route().maximumAttempts();
    }

    /**
     * Takes a retry from the budget if the route allows one more endpoint.
     *
     * @param attemptsInProgress attempts that were sent and have not ended
     * @return whether the request may be sent to another endpoint
     */
    boolean tryRetry(int attemptsInProgress) {
        return allowsRetry(attemptsInProgress)
                && context.retryBudgets()
                        .tryRetry(caller.service(), context.clock().millis());
    }

    /**
     * Whether any attempt that has ended may have run the request.
     *
     * @return false if nothing was sent or each endpoint reported that it did not run the request
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Records that an endpoint ran the request or may have run it. */
    void recordPossibleExecution() {
        mayHaveRun = true;
    }

    /** Records that the request ends without a further attempt. */
    void recordEnd() {
        if (isTrial && !mayHaveRun && !hasAnswered) {
            isTrial = false;
            context.promptGuard().recordUnusedTrial(caller);
        }
    }

    /** Records that an endpoint responded. */
    void recordResponse() {
        endedAttempts++;
    }

    /**
     * Excludes an endpoint from further choices.
     *
     * @param endpoint the endpoint
     */
    void exclude(KnownEndpoint endpoint) {
        excluded.add(endpoint.entry().id());
    }

    /**
     * Records that an endpoint refused the request.
     *
     * @param endpoint the endpoint
     */
    void recordRefusal(KnownEndpoint endpoint) {
        exclude(endpoint);
        context.metrics().recordEndpointFailure(caller.service(), "refused");
    }

    /**
     * Records that an endpoint has received the request and that its response is no longer awaited.
     *
     * @param endpoint the endpoint
     */
    void recordAbandonment(KnownEndpoint endpoint) {
        endedAttempts++;
        mayHaveRun = true;
        exclude(endpoint);
        endpoint.health().recordFailure(context.clock().millis());
    }

    /** Records that the answer of an endpoint has begun and goes on, so that the request did not crash it. */
    void recordAnswer() {
        if (!hasAnswered) {
            hasAnswered = true;
            context.promptGuard().recordSuccess(caller);
        }
    }

    /**
     * Records that the exchange with an endpoint failed.
     *
     * @param attempt the failed attempt
     * @param failure the failure
     */
    void recordFailure(EndpointAttempt attempt, Throwable failure) {
        recordSuspicion(attempt, failure);
        context.metrics().recordEndpointFailure(caller.service(), attempt.isSent() ? "failed" : "unreachable");
        if (attempt.isSent()) {
            recordAbandonment(attempt.endpoint());
            return;
        }
        exclude(attempt.endpoint());
        attempt.endpoint().health().recordUnreachable(context.clock().millis());
    }

    /** An endpoint that closes the connection before it answers may have been crashed by the request. */
    private void recordSuspicion(EndpointAttempt attempt, Throwable failure) {
        if (attempt.isSent()
                && !hasAnswered
                && !attempt.endpoint().isLeaving()
                && EndpointExchange.isClosedConnection(failure)) {
            context.promptGuard().recordCrash(caller, attempt.endpoint().entry(), attempt.startedAtMillis());
        }
    }
}
