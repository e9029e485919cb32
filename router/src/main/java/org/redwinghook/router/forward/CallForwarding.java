package org.redwinghook.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.RunningRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards a request whose answer is passed on as a whole. An answer that is cut off, that belongs to another request or
 * that is encoded never reaches the caller.
 */
final class CallForwarding {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallForwarding.class);

    /** Time after which a refused caller finds room again, in milliseconds: a few calls' duration. */
    private static final long RETRY_AFTER_MILLIS = 250;

    private static final int FIRST_SERVER_ERROR = 500;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final EndpointAttempts attempts;
    private @Nullable Attempt current;
    private @Nullable Runnable failureAnswer;

    CallForwarding(ForwardContext context, CallerExchange caller) {
        this.context = context;
        this.caller = caller;
        this.attempts = new EndpointAttempts(context, caller, PlacementPolicy.CALL, new PlacementQuery(0, 0));
    }

    void start() {
        caller.onGone(this::cancel);
        caller.onTimeout(this::timedOut);
        caller.open();
        context.retries().requestStarted(caller.service(), context.clock().millis());
        attempt();
    }

    private void attempt() {
        Optional<KnownEndpoint> chosen = attempts.next();
        if (chosen.isEmpty()) {
            giveUp(attempts.noneLeft());
            return;
        }
        Attempt attempt = new Attempt(chosen.get());
        current = attempt;
        attempt.start();
    }

    private void giveUp(RefusalCause cause) {
        if (attempts.mayHaveRun()) {
            fail("no endpoint left for a repeated request", false);
            return;
        }
        caller.refuse(new Refusal(cause, RETRY_AFTER_MILLIS));
    }

    /** Ends a request that may have run: with the failure that an endpoint answered, if one did. */
    private void fail(String cause, boolean timedOut) {
        Runnable answer = failureAnswer;
        if (answer != null) {
            answer.run();
            return;
        }
        caller.fail(cause, timedOut);
    }

    private void timedOut() {
        boolean sent = current != null && current.turn.underWay();
        cancel();
        if (!attempts.mayHaveRun() && !sent) {
            caller.refuse(new Refusal(RefusalCause.NO_TIME, 0));
            return;
        }
        fail("the time ran out", true);
    }

    private void cancel() {
        Attempt attempt = current;
        if (attempt != null) {
            attempt.end();
        }
    }

    /** One endpoint's turn. */
    private final class Attempt {

        private final KnownEndpoint endpoint;
        private final EndpointTurn turn;
        private long timer = -1;

        Attempt(KnownEndpoint endpoint) {
            this.endpoint = endpoint;
            this.turn = new EndpointTurn(
                    context,
                    caller,
                    endpoint,
                    EndpointExchange.to(endpoint.entry()),
                    new RunningRequest(endpoint.entry().id(), 0, 0));
        }

        void start() {
            turn.begin();
            if (caller.route().mayRunAgain() && attempts.allowsAnother(1)) {
                timer = context.vertx()
                        .setTimer(Math.max(1, caller.route().latencyObjectiveMillis()), ignored -> tooSlow());
            }
            turn.send(null, null).onSuccess(this::answered).onFailure(this::failed);
        }

        void end() {
            context.vertx().cancelTimer(timer);
            turn.end();
        }

        /** Gives the endpoint up although it may still answer. */
        private void tooSlow() {
            if (!turn.over() && caller.remainingMillis() > 0 && attempts.tryAnother(1)) {
                end();
                attempts.lost(endpoint);
                attempt();
            }
        }

        private void answered(HttpClientResponse response) {
            if (turn.over()) {
                return;
            }
            ReplyHead reply = turn.reply(response);
            response.body().onSuccess(body -> complete(response, reply, body)).onFailure(this::failed);
        }

        private void complete(HttpClientResponse response, ReplyHead reply, Buffer body) {
            if (turn.over()) {
                return;
            }
            if (!turn.owns(reply)) {
                failed(new IllegalStateException("the answer is not the request's own"));
                return;
            }
            end();
            attempts.answered();
            if (reply.notRun() || reply.status() == EndpointTurn.MISDIRECTED) {
                refused(reply);
                return;
            }
            long now = context.clock().millis();
            if (reply.status() < FIRST_SERVER_ERROR) {
                endpoint.health().recordSuccess(now);
            } else {
                endpoint.health().recordFailure(now);
                attempts.noteRun();
                failureAnswer = () -> turn.forward(response, body);
                if (caller.route().mayRunAgain() && attempts.tryAnother(0)) {
                    attempts.exclude(endpoint);
                    attempt();
                    return;
                }
            }
            turn.forward(response, body);
        }

        private void refused(ReplyHead reply) {
            if (reply.status() == EndpointTurn.MISDIRECTED) {
                endpoint.health().recordUnreachable(context.clock().millis());
            } else {
                endpoint.health().recordFailure(context.clock().millis());
            }
            attempts.refused(endpoint);
            LOGGER.info(
                    "endpoint refused id={} endpoint={} status={}",
                    caller.requestId(),
                    turn.endpointId(),
                    reply.status());
            if (attempts.tryAnother(0)) {
                attempt();
                return;
            }
            giveUp(RefusalCause.ENDPOINTS_FULL);
        }

        private void failed(Throwable failure) {
            if (turn.over()) {
                return;
            }
            end();
            LOGGER.info(
                    "call failed id={} endpoint={} sent={} cause={}",
                    caller.requestId(),
                    turn.endpointId(),
                    turn.sent(),
                    failure.toString());
            attempts.failed(turn);
            if (!turn.sent() || (caller.route().mayRunAgain() && attempts.tryAnother(0))) {
                attempt();
                return;
            }
            fail("the endpoint failed: " + failure.getMessage(), false);
        }
    }
}
