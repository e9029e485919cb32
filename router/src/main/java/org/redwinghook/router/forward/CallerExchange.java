package org.redwinghook.router.forward;

import java.util.Locale;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.CustomerAccess;
import org.redwinghook.core.forward.Route;
import org.redwinghook.router.caller.CallerErrors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request of a caller, from its arrival to the end of its answer. The answer ends exactly once: forwarded, refused
 * as not run, failed with an unknown outcome, or abandoned because the caller left.
 */
public final class CallerExchange {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallerExchange.class);
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final ForwardMetrics metrics;
    private final HttpServerRequest request;
    private final RequestHead head;
    private final String requestId;
    private final Route route;
    private final @Nullable CustomerAccess access;
    private final String service;
    private final Buffer body;
    private final long arrivedMillis;
    private final long endMillis;
    private final Runnable onEnd;
    private Runnable goneHandler = () -> {};
    private Runnable timeoutHandler = () -> {};
    private long timer = -1;
    private boolean ended;

    /**
     * Takes a request over.
     *
     * @param context shared services
     * @param request the request, its body read
     * @param body the body
     * @param admitted what is known of the request
     * @param onEnd called once when the answer has ended
     */
    CallerExchange(
            ForwardContext context, HttpServerRequest request, Buffer body, AdmittedRequest admitted, Runnable onEnd) {
        this.vertx = context.vertx();
        this.clock = context.clock();
        this.metrics = context.metrics();
        this.request = request;
        this.head = admitted.head();
        this.requestId = admitted.requestId();
        this.route = admitted.route();
        this.access = admitted.access();
        this.service = route.selectService(requestId);
        this.body = body;
        this.arrivedMillis = admitted.arrivedMillis();
        long patience = head.deadlineMillis() > 0
                ? Math.min(head.deadlineMillis(), route.timeoutMillis())
                : route.timeoutMillis();
        this.endMillis = arrivedMillis + patience;
        this.onEnd = onEnd;
    }

    /** Starts to watch the caller's connection and the time. */
    void open() {
        request.response().closeHandler(ignored -> gone());
        request.response().exceptionHandler(ignored -> gone());
        timer = vertx.setTimer(Math.max(1, remainingMillis()), ignored -> timeoutHandler.run());
    }

    void onGone(Runnable handler) {
        goneHandler = handler;
    }

    void onTimeout(Runnable handler) {
        timeoutHandler = handler;
    }

    HttpServerRequest request() {
        return request;
    }

    HttpServerResponse response() {
        return request.response();
    }

    RequestHead head() {
        return head;
    }

    String requestId() {
        return requestId;
    }

    Route route() {
        return route;
    }

    @Nullable
    CustomerAccess access() {
        return access;
    }

    String service() {
        return service;
    }

    Buffer body() {
        return body;
    }

    boolean ended() {
        return ended;
    }

    long remainingMillis() {
        return endMillis - clock.millis();
    }

    long elapsedMillis() {
        return clock.millis() - arrivedMillis;
    }

    /**
     * Answers with what the endpoint answered.
     *
     * @param status HTTP status
     * @param headers headers
     * @param answer the whole body
     * @param endpoint who answered, for the log
     */
    void forward(int status, MultiMap headers, Buffer answer, String endpoint) {
        if (!finish("forwarded", status, endpoint)) {
            return;
        }
        response().setStatusCode(status).headers().addAll(headers);
        written(response().end(answer));
    }

    /**
     * Refuses the request as not run.
     *
     * @param refusal why
     */
    void refuse(Refusal refusal) {
        if (!finish(
                refusal.reason().name().toLowerCase(Locale.ROOT),
                refusal.reason().status(),
                "none")) {
            return;
        }
        if (refusal.retryAfterMillis() > 0) {
            response().putHeader("Retry-After", Double.toString(refusal.retryAfterMillis() / MILLIS_PER_SECOND));
        }
        end(refusal.reason().status(), "not_run", refusal.reason().name());
    }

    /**
     * Fails the request; it may have run.
     *
     * @param cause why
     * @param timedOut whether the time ran out
     */
    void fail(String cause, boolean timedOut) {
        int status = timedOut ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        if (finish(timedOut ? "timed_out" : "failed", status, "none", cause)) {
            end(status, "unknown_outcome", cause);
        }
    }

    /**
     * Ends an answer that has begun and cannot be completed: the connection closes, so that it does not look complete.
     *
     * @param cause why
     */
    void abort(String cause) {
        if (finish("aborted", 0, "none", cause)) {
            request.connection().close();
            onEnd.run();
        }
    }

    /**
     * Ends an answer whose body has been passed on piece by piece.
     *
     * @param endpoint who answered, for the log
     */
    void complete(String endpoint) {
        if (finish("completed", response().getStatusCode(), endpoint)) {
            written(response().end());
        }
    }

    /** A stopping router may close the connection once the answer is on its way, not before. */
    private void written(Future<Void> write) {
        write.onComplete(ignored -> onEnd.run());
    }

    private void end(int status, String type, String message) {
        written(response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(CallerErrors.body(type, message).toBuffer()));
    }

    private void gone() {
        if (finish("caller_left", 0, "none")) {
            goneHandler.run();
            onEnd.run();
        }
    }

    private boolean finish(String outcome, int status, String endpoint) {
        return finish(outcome, status, endpoint, "none");
    }

    private boolean finish(String outcome, int status, String endpoint, String cause) {
        if (ended) {
            return false;
        }
        ended = true;
        vertx.cancelTimer(timer);
        LOGGER.info(
                "request ended id={} route={} service={} outcome={} status={} endpoint={} cause=\"{}\" elapsedMillis={}",
                requestId,
                route.name(),
                service,
                outcome,
                status,
                endpoint,
                cause,
                elapsedMillis());
        metrics.ended(service, outcome, elapsedMillis());
        return true;
    }
}
