package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.dispatch.CapacityRule;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.quarantine.PromptAdmission;
import org.redwinghook.core.quarantine.PromptParts;
import org.redwinghook.core.quarantine.QuarantinedPart;

/** Tracks the endpoints tried for one request and decides whether another one may be tried. */
final class RequestAttempts {

    /** Maximum number of endpoints chosen for one request, including those that cannot be reached. */
    private static final int MAXIMUM_TRIED_ENDPOINTS = 4;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final CapacityRule rule;
    private final PlacementQuery query;
    private final Set<String> excluded = new HashSet<>();
    private int endedAttempts;
    private int triedEndpoints;
    private boolean mayHaveRun;
    private boolean isTrial;
    private boolean hasAnswered;
    private @Nullable Refusal quarantineRefusal;
    private @Nullable WaitingRequest waiting;

    RequestAttempts(ForwardContext context, CallerExchange caller, CapacityRule rule, PlacementQuery query) {
        this.context = context;
        this.caller = caller;
        this.rule = rule;
        this.query = query;
    }

    /**
     * Chooses the first endpoint, at once or when one has capacity. A trial of a prompt part is sent at once, since other
     * routers wait for its result.
     *
     * @param send receives the endpoint
     * @param refuse receives the cause if there will be none
     */
    void awaitFirstEndpoint(Consumer<KnownEndpoint> send, Consumer<RefusalCause> refuse) {
        boolean waits = context.waiting().isEnabled();
        if (waits && !isAdmitted()) {
            refuse.accept(refusalCause());
            return;
        }
        if (!waits || isTrial) {
            chooseNextEndpoint().ifPresentOrElse(send, () -> refuse.accept(refusalCause()));
            return;
        }
        WaitingRequest added = context.waiting().add(caller, rule, query, new WaitingRequest.Listener() {
            @Override
            public void handleEndpoint(KnownEndpoint endpoint) {
                waiting = null;
                if (!isAdmitted()) {
                    refuse.accept(refusalCause());
                    return;
                }
                triedEndpoints++;
                send.accept(endpoint);
            }

            @Override
            public void handleRefusal(RefusalCause cause) {
                waiting = null;
                refuse.accept(cause);
            }
        });
        waiting = added.isWaiting() ? added : null;
    }

    /** Ends the wait for the first endpoint, if the request still waits. */
    void stopWaiting() {
        WaitingRequest stopped = waiting;
        waiting = null;
        if (stopped != null) {
            context.waiting().remove(stopped);
        }
    }

    boolean isWaiting() {
        return waiting != null;
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
        Optional<KnownEndpoint> chosen = context.selector().choose(caller, rule.policy(), query, excluded);
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
        return !isTrial && !hasAnswered && PromptParts.contain(caller.head().sharedParts(), part);
    }

    /**
     * Records that the request is withdrawn from its endpoint, because a part of its prompt was quarantined.
     *
     * @param isSent whether the endpoint may have received the request
     * @param part the part
     */
    void recordWithdrawal(boolean isSent, QuarantinedPart part) {
        mayHaveRun |= isSent;
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
     * @return the refusal to report to the caller
     */
    Refusal refusal(RefusalCause cause) {
        Refusal ofQuarantine = quarantineRefusal;
        if (ofQuarantine != null) {
            return ofQuarantine;
        }
        if (context.selector().isVersionGone(caller)) {
            return new Refusal(RefusalCause.VERSION_GONE, 0);
        }
        long retryAfterMillis = context.waiting().retryAfterMillis(caller, rule, query);
        if (!context.selector().candidates(caller, Set.of()).isEmpty()) {
            return new Refusal(cause, retryAfterMillis);
        }
        // Without an endpoint that may be asked now, the end of the shortest pause is the time to come back.
        long untilReturnMillis = context.notices()
                .millisUntilReturn(
                        caller.service(),
                        caller.requiredVersion(),
                        context.clock().millis())
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
