package org.redwinghook.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.dispatch.CapacityRule;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.RunningRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards a request whose response is buffered and passed on as a whole. A response that is truncated, that belongs to
 * another request or that has a content encoding never reaches the caller.
 */
final class CallForwarding {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallForwarding.class);

    private static final int FIRST_SERVER_ERROR = 500;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final RequestAttempts attempts;
    private final long startedAtMillis;
    private @Nullable CallAttempt currentAttempt;
    private @Nullable Runnable forwardFailureResponse;

    CallForwarding(ForwardContext context, CallerExchange caller) {
        this.context = context;
        this.caller = caller;
        this.attempts = new RequestAttempts(context, caller, CapacityRule.CALL, new PlacementQuery(0, 0));
        this.startedAtMillis = context.clock().millis();
    }

    void start() {
        caller.onDisconnect(this::handleDisconnect);
        caller.onTimeout(this::handleTimeout);
        caller.onInterruption(this::handleInterruption);
        context.retryBudgets().requestStarted(caller.service(), context.clock().millis());
        attempts.awaitFirstEndpoint(this::startAttempt, this::refuseOrFail);
    }

    private void startNextAttempt() {
        Optional<KnownEndpoint> chosen = attempts.chooseNextEndpoint();
        if (chosen.isEmpty()) {
            refuseOrFail(attempts.refusalCause());
            return;
        }
        startAttempt(chosen.get());
    }

    private void startAttempt(KnownEndpoint endpoint) {
        CallAttempt attempt = new CallAttempt(endpoint);
        currentAttempt = attempt;
        attempt.start();
    }

    private void refuseOrFail(RefusalCause cause) {
        if (attempts.mayHaveRun()) {
            fail("no endpoint left for a repeated request", false);
            return;
        }
        attempts.recordEnd();
        caller.refuse(attempts.refusal(cause));
    }

    /** Fails a request that may have run. An error response from an endpoint is forwarded if there was one. */
    private void fail(String cause, boolean timedOut) {
        Runnable forwardFailure = forwardFailureResponse;
        if (forwardFailure != null) {
            forwardFailure.run();
            return;
        }
        caller.fail(cause, timedOut);
    }

    private void handleTimeout() {
        endUnanswered(new Refusal(RefusalCause.NO_TIME, 0), "the time ran out", true);
    }

    private void handleInterruption(Refusal refusal) {
        endUnanswered(refusal, refusal.cause().description(), false);
    }

    private void endUnanswered(Refusal refusal, String cause, boolean timedOut) {
        boolean sent = currentAttempt != null && currentAttempt.endpointAttempt.isInProgress();
        cancel();
        if (!attempts.mayHaveRun() && !sent) {
            attempts.recordEnd();
            caller.refuse(refusal);
            return;
        }
        fail(cause, timedOut);
    }

    private void handleDisconnect() {
        if (currentAttempt != null && currentAttempt.endpointAttempt.isInProgress()) {
            attempts.recordPossibleExecution();
        }
        cancel();
        attempts.recordEnd();
    }

    private void cancel() {
        attempts.stopWaiting();
        CallAttempt attempt = currentAttempt;
        if (attempt != null) {
            attempt.end(AttemptOutcome.WITHDRAWN);
        }
    }

    /** One attempt at one endpoint. */
    private final class CallAttempt {

        private final KnownEndpoint endpoint;
        private final EndpointAttempt endpointAttempt;
        private long slowResponseTimer = -1;

        CallAttempt(KnownEndpoint endpoint) {
            this.endpoint = endpoint;
            this.endpointAttempt = new EndpointAttempt(
                    context,
                    caller,
                    endpoint,
                    EndpointExchange.to(endpoint.entry()),
                    new RunningRequest(endpoint.entry().id(), 0, 0));
        }

        void start() {
            endpointAttempt.recordStart();
            if (caller.route().mayRunAgain() && attempts.allowsRetry(1)) {
                slowResponseTimer = context.vertx()
                        .setTimer(
                                Math.max(1, caller.route().latencyObjectiveMillis()), ignored -> handleSlowResponse());
            }
            endpointAttempt.send(null, null).onSuccess(this::handleResponse).onFailure(this::handleFailure);
        }

        void end(AttemptOutcome outcome) {
            context.vertx().cancelTimer(slowResponseTimer);
            endpointAttempt.end(outcome);
        }

        /** Abandons a slow endpoint, although it may still respond, and tries another one. */
        private void handleSlowResponse() {
            if (!endpointAttempt.isEnded() && caller.remainingMillis() > 0 && attempts.tryRetry(1)) {
                end(AttemptOutcome.BROKEN);
                attempts.recordAbandonment(endpoint);
                startNextAttempt();
            }
        }

        private void handleResponse(HttpClientResponse response) {
            if (endpointAttempt.isEnded()) {
                return;
            }
            ResponseHead head = endpointAttempt.readResponseHead(response);
            IllegalStateException defect = endpointAttempt.findDefect(head);
            if (defect != null) {
                handleFailure(defect);
                return;
            }
            endpointAttempt
                    .readBody(response)
                    .onSuccess(body -> handleBody(response, head, body))
                    .onFailure(this::handleFailure);
        }

        private void handleBody(HttpClientResponse response, ResponseHead head, Buffer body) {
            if (endpointAttempt.isEnded()) {
                return;
            }
            end(outcomeOf(head));
            attempts.recordResponse();
            context.callDurations().record(caller.service(), context.clock().millis() - startedAtMillis);
            if (head.notRun() || head.status() == EndpointAttempt.MISDIRECTED_REQUEST) {
                handleRefusal(head);
                return;
            }
            long now = context.clock().millis();
            if (head.status() < FIRST_SERVER_ERROR) {
                if (body.length() > 0 || EndpointAttempt.isFramed(response)) {
                    attempts.recordAnswer();
                }
                endpoint.health().recordSuccess(now);
            } else {
                endpoint.health().recordFailure(now);
                attempts.recordPossibleExecution();
                forwardFailureResponse = () -> endpointAttempt.forward(response, body);
                if (caller.route().mayRunAgain() && attempts.tryRetry(0)) {
                    attempts.exclude(endpoint);
                    startNextAttempt();
                    return;
                }
            }
            endpointAttempt.forward(response, body);
        }

        private static AttemptOutcome outcomeOf(ResponseHead head) {
            if (head.notRun() || head.status() == EndpointAttempt.MISDIRECTED_REQUEST) {
                return AttemptOutcome.NOT_RUN;
            }
            return head.status() < FIRST_SERVER_ERROR ? AttemptOutcome.SUCCEEDED : AttemptOutcome.FAILED;
        }

        private void handleRefusal(ResponseHead head) {
            if (head.status() == EndpointAttempt.MISDIRECTED_REQUEST) {
                endpoint.health().recordUnreachable(context.clock().millis());
            } else {
                endpoint.health().recordFailure(context.clock().millis());
            }
            attempts.recordRefusal(endpoint);
            LOGGER.info(
                    "endpoint refused id={} endpoint={} version={} status={}",
                    caller.requestId(),
                    endpointAttempt.endpointId(),
                    endpointAttempt.version(),
                    head.status());
            if (attempts.tryRetry(0)) {
                startNextAttempt();
                return;
            }
            refuseOrFail(RefusalCause.ENDPOINTS_FULL);
        }

        private void handleFailure(Throwable failure) {
            if (endpointAttempt.isEnded()) {
                return;
            }
            end(endpointAttempt.failureOutcome());
            LOGGER.info(
                    "call failed id={} endpoint={} version={} sent={} cause={}",
                    caller.requestId(),
                    endpointAttempt.endpointId(),
                    endpointAttempt.version(),
                    endpointAttempt.isSent(),
                    failure.toString());
            attempts.recordFailure(endpointAttempt, failure);
            if (!endpointAttempt.isSent() || (caller.route().mayRunAgain() && attempts.tryRetry(0))) {
                startNextAttempt();
                return;
            }
            fail("the endpoint failed: " + failure.getMessage(), false);
        }
    }
}
