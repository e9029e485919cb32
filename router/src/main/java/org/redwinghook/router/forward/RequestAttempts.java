package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;

/** Endpoints that one request was sent to, and whether it may be sent to another one. */
final class RequestAttempts {

    /** Endpoints that may be tried in vain before anything is sent. */
    private static final int MAXIMUM_TRIED_ENDPOINTS = 4;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final PlacementPolicy policy;
    private final PlacementQuery query;
    private final Set<String> excluded = new HashSet<>();
    private int endedAttempts;
    private int triedEndpoints;
    private boolean mayHaveRun;

    RequestAttempts(ForwardContext context, CallerExchange caller, PlacementPolicy policy, PlacementQuery query) {
        this.context = context;
        this.caller = caller;
        this.policy = policy;
        this.query = query;
    }

    /**
     * Chooses the next endpoint.
     *
     * @return the endpoint, empty if there is none or too many could not be reached
     */
    Optional<KnownEndpoint> chooseNextEndpoint() {
        if (triedEndpoints >= MAXIMUM_TRIED_ENDPOINTS) {
            return Optional.empty();
        }
        Optional<KnownEndpoint> chosen = context.selector().choose(caller, policy, query, excluded);
        if (chosen.isPresent()) {
            triedEndpoints++;
        }
        return chosen;
    }

    /**
     * Why there is no next endpoint.
     *
     * @return the cause for the caller
     */
    RefusalCause refusalCause() {
        return triedEndpoints > 0 ? RefusalCause.ENDPOINTS_FULL : RefusalCause.NO_ENDPOINT;
    }

    /**
     * Whether the route allows one more endpoint.
     *
     * @param attemptsInProgress endpoints that have the request and have not ended it
     * @return false if the request has been sent to as many endpoints as the route allows
     */
    boolean allowsRetry(int attemptsInProgress) {
        return endedAttempts + attemptsInProgress < caller.route().maximumAttempts();
    }

    /**
     * Takes one more attempt out of the budget, if the route allows one.
     *
     * @param attemptsInProgress endpoints that have the request and have not ended it
     * @return whether the request may be sent to another endpoint
     */
    boolean tryRetry(int attemptsInProgress) {
        return allowsRetry(attemptsInProgress)
                && context.retryBudgets()
                        .tryRetry(caller.service(), context.clock().millis());
    }

    /**
     * Whether an endpoint may have run the request, other than one that still has it.
     *
     * @return false if nothing was sent or each endpoint stated that it did not run it
     */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Notes that an endpoint ran the request, or that it did not say so. */
    void recordPossibleExecution() {
        mayHaveRun = true;
    }

    /** Notes an endpoint's answer. */
    void recordResponse() {
        endedAttempts++;
    }

    /**
     * Leaves an endpoint out of further choices.
     *
     * @param endpoint the endpoint
     */
    void exclude(KnownEndpoint endpoint) {
        excluded.add(endpoint.entry().id());
    }

    /**
     * Notes that an endpoint answered that it did not take the request.
     *
     * @param endpoint the endpoint
     */
    void recordRefusal(KnownEndpoint endpoint) {
        exclude(endpoint);
        context.metrics().recordEndpointFailure(caller.service(), "refused");
    }

    /**
     * Notes that an endpoint has the request and that its answer is no longer waited for.
     *
     * @param endpoint the endpoint
     */
    void recordAbandonment(KnownEndpoint endpoint) {
        endedAttempts++;
        mayHaveRun = true;
        exclude(endpoint);
        endpoint.health().recordFailure(context.clock().millis());
    }

    /**
     * Notes that an exchange with an endpoint failed.
     *
     * @param attempt the endpoint's turn
     */
    void recordFailure(EndpointAttempt attempt) {
        context.metrics().recordEndpointFailure(caller.service(), attempt.isSent() ? "failed" : "unreachable");
        if (attempt.isSent()) {
            recordAbandonment(attempt.endpoint());
            return;
        }
        exclude(attempt.endpoint());
        attempt.endpoint().health().recordUnreachable(context.clock().millis());
    }
}
