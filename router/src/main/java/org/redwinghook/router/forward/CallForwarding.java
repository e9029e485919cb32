package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

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

    /** Longest time for connecting to an endpoint, in milliseconds; several round trips between regions. */
    private static final long CONNECT_MILLIS = 400;

    /** Endpoints that may be tried in vain before anything is sent. */
    private static final int MOST_CONNECTS = 4;

    /** Time after which a refused caller finds room again, in milliseconds: a few calls' duration. */
    private static final long RETRY_AFTER_MILLIS = 250;

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final Set<String> excluded = new HashSet<>();
    private final PlacementQuery query = new PlacementQuery(0, 0);
    private @Nullable Attempt current;
    private int sends;
    private int connects;
    private boolean mayHaveRun;
    private @Nullable Runnable failureAnswer;

    CallForwarding(ForwardContext context, CallerExchange caller) {
        this.context = context;
        this.caller = caller;
    }

    void start() {
        caller.onGone(this::cancel);
        caller.onTimeout(this::timedOut);
        caller.open();
        context.retries().requestStarted(caller.service(), context.clock().millis());
        attempt();
    }

    private void attempt() {
        Optional<KnownEndpoint> chosen = context.selector().choose(caller, PlacementPolicy.CALL, query, excluded);
        if (chosen.isEmpty() || connects >= MOST_CONNECTS) {
            giveUp(connects > 0 ? RefusalCause.ENDPOINTS_FULL : RefusalCause.NO_ENDPOINT);
            return;
        }
        connects++;
        Attempt attempt = new Attempt(chosen.get());
        current = attempt;
        attempt.start();
    }

    private void giveUp(RefusalCause cause) {
        if (mayHaveRun) {
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

    private boolean mayRepeat() {
        return sends < caller.route().maxAttempts()
                && context.retries().tryRetry(caller.service(), context.clock().millis());
    }

    private void timedOut() {
        boolean sent = current != null && !current.over && current.exchange.sent();
        cancel();
        if (!mayHaveRun && !sent) {
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
        private final EndpointExchange exchange;
        private final RunningRequest running;
        private long timer = -1;
        private boolean over;

        Attempt(KnownEndpoint endpoint) {
            this.endpoint = endpoint;
            this.exchange = EndpointExchange.to(endpoint.entry());
            this.running = new RunningRequest(endpoint.entry().id(), 0, 0);
        }

        void start() {
            context.ledger().started(running);
            endpoint.pacing().sent(context.clock().millis());
            if (caller.route().mayRunAgain() && sends + 1 < caller.route().maxAttempts()) {
                timer = context.vertx().setTimer(Math.max(1, caller.route().objectiveMillis()), ignored -> tooSlow());
            }
            EndpointRequestHead head = new EndpointRequestHead(
                    endpoint.entry().id(),
                    Math.max(1, caller.remainingMillis()),
                    caller.access() == null ? null : caller.access().customer(),
                    null,
                    null,
                    null,
                    null);
            exchange.send(
                            context.client(),
                            Math.min(CONNECT_MILLIS, Math.max(1, caller.remainingMillis())),
                            caller.request().method(),
                            caller.request().uri(),
                            context.protocol().endpointHeaders(caller.request().headers(), head),
                            caller.body())
                    .onSuccess(this::answered)
                    .onFailure(this::failed);
        }

        void end() {
            over = true;
            context.vertx().cancelTimer(timer);
            context.ledger().ended(running);
            exchange.close();
        }

        private void tooSlow() {
            if (!over && caller.remainingMillis() > 0 && mayRepeatSlow()) {
                lost();
            }
        }

        private boolean mayRepeatSlow() {
            return sends + 1 < caller.route().maxAttempts()
                    && context.retries()
                            .tryRetry(caller.service(), context.clock().millis());
        }

        /** Gives the endpoint up although it may still answer. */
        private void lost() {
            sends++;
            mayHaveRun = true;
            end();
            endpoint.health().failed(context.clock().millis());
            excluded.add(endpoint.entry().id());
            attempt();
        }

        private void answered(HttpClientResponse response) {
            if (over) {
                return;
            }
            ReplyHead reply = context.protocol().reply(response);
            if (reply.waiting() >= 0) {
                endpoint.reportWaiting(reply.waiting(), context.clock().millis());
            }
            response.body().onSuccess(body -> complete(response, reply, body)).onFailure(this::failed);
        }

        private void complete(HttpClientResponse response, ReplyHead reply, Buffer body) {
            if (over) {
                return;
            }
            if (!reply.intact() || !reply.belongsTo(caller.requestId())) {
                failed(new IllegalStateException("the answer is not the request's own"));
                return;
            }
            end();
            sends++;
            if (reply.notRun() || reply.status() == MISDIRECTED) {
                refused(reply);
                return;
            }
            long now = context.clock().millis();
            if (reply.status() < FIRST_SERVER_ERROR) {
                endpoint.health().succeeded(now);
            } else {
                endpoint.health().failed(now);
                mayHaveRun = true;
                failureAnswer = () -> forward(response, reply, body);
                if (caller.route().mayRunAgain() && mayRepeat()) {
                    excluded.add(endpoint.entry().id());
                    attempt();
                    return;
                }
            }
            forward(response, reply, body);
        }

        private void forward(HttpClientResponse response, ReplyHead reply, Buffer body) {
            caller.forward(
                    reply.status(),
                    context.protocol().callerHeaders(response),
                    body,
                    endpoint.entry().id());
        }

        private void refused(ReplyHead reply) {
            if (reply.status() == MISDIRECTED) {
                endpoint.health().unreachable(context.clock().millis());
            } else {
                endpoint.health().failed(context.clock().millis());
            }
            excluded.add(endpoint.entry().id());
            context.metrics().endpointFailed(caller.service(), "refused");
            LOGGER.info(
                    "endpoint refused id={} endpoint={} status={}",
                    caller.requestId(),
                    endpoint.entry().id(),
                    reply.status());
            if (mayRepeat()) {
                attempt();
                return;
            }
            giveUp(RefusalCause.ENDPOINTS_FULL);
        }

        private void failed(Throwable failure) {
            if (over) {
                return;
            }
            end();
            excluded.add(endpoint.entry().id());
            context.metrics().endpointFailed(caller.service(), exchange.sent() ? "failed" : "unreachable");
            LOGGER.info(
                    "call failed id={} endpoint={} sent={} cause={}",
                    caller.requestId(),
                    endpoint.entry().id(),
                    exchange.sent(),
                    failure.toString());
            if (!exchange.sent()) {
                endpoint.health().unreachable(context.clock().millis());
                attempt();
                return;
            }
            sends++;
            mayHaveRun = true;
            endpoint.health().failed(context.clock().millis());
            if (caller.route().mayRunAgain() && mayRepeat()) {
                attempt();
                return;
            }
            fail("the endpoint failed: " + failure.getMessage(), false);
        }
    }
}
