package org.redwinghook.router.forward;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.CustomerAccess;
import org.redwinghook.core.forward.Route;
import org.redwinghook.core.receive.ReceiveBudget;
import org.redwinghook.router.caller.CallerErrors;
import org.redwinghook.runtime.http.GuardedConnections;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One request of a caller, from its arrival to the end of its response. The response ends exactly once: forwarded,
 * refused as not run, failed with an unknown outcome, aborted, or dropped because the caller disconnected.
 */
public final class CallerExchange {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallerExchange.class);
    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Retry delay suggested when the memory for messages is exhausted, in milliseconds. */
    static final long MEMORY_RETRY_AFTER_MILLIS = 500;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final ForwardMetrics metrics;
    private final HttpServerRequest request;
    private final RequestHead head;
    private final String requestId;
    private Route route;
    private @Nullable CustomerAccess access;
    private String service;
    private Buffer body;
    private final long receivedAtMillis;
    private final long deadlineMillis;
    private final long maximumWriteMillis;
    private final ReceiveBudget.Share heldBytes;
    private final Runnable onEnd;
    private Runnable disconnectHandler = () -> {};
    private Runnable timeoutHandler = () -> refuse(new Refusal(RefusalCause.NO_TIME, 0));
    private Consumer<Refusal> interruptionHandler = this::refuse;
    private long timeoutTimer = -1;
    private boolean isEnded;
    private @Nullable String requiredVersion;

    /**
     * Creates an exchange for an admitted request.
     *
     * @param context shared services
     * @param request the request, whose body has been read
     * @param body body of the request
     * @param admitted head, route and access of the request
     * @param heldBytes memory of the request's messages, released when the response has ended
     * @param onEnd called once when the response has ended
     */
    CallerExchange(
            ForwardContext context,
            HttpServerRequest request,
            Buffer body,
            AdmittedRequest admitted,
            ReceiveBudget.Share heldBytes,
            Runnable onEnd) {
        this.vertx = context.vertx();
        this.clock = context.clock();
        this.metrics = context.metrics();
        this.request = request;
        this.head = admitted.head();
        this.requestId = admitted.requestId();
        this.route = admitted.route();
        this.access = admitted.access();
        this.service = selectService(route);
        this.body = body;
        this.receivedAtMillis = admitted.receivedAtMillis();
        this.deadlineMillis = admitted.deadlineMillis();
        this.maximumWriteMillis = admitted.limits().idleTimeoutMillis();
        this.heldBytes = heldBytes;
        this.onEnd = onEnd;
        heldBytes.onEviction(this::giveUpMessages);
    }

    /** Registers for the caller's disconnection and starts the timeout. */
    void startMonitoring() {
        request.response().closeHandler(ignored -> handleDisconnect());
        request.response().exceptionHandler(ignored -> handleDisconnect());
        timeoutTimer = vertx.setTimer(Math.max(1, remainingMillis()), ignored -> timeoutHandler.run());
    }

    void onDisconnect(Runnable handler) {
        disconnectHandler = handler;
    }

    void onTimeout(Runnable handler) {
        timeoutHandler = handler;
    }

    void onInterruption(Consumer<Refusal> handler) {
        interruptionHandler = handler;
    }

    /**
     * Applies a new configuration to a request that was not sent yet.
     *
     * @param newRoute its route
     * @param newAccess access granted by its API key, null if the route needs none
     */
    void readmit(Route newRoute, @Nullable CustomerAccess newAccess) {
        route = newRoute;
        access = newAccess;
        service = selectService(newRoute);
    }

    /**
     * Selects the service of the request. A resumed stream stays at the service of the attempt that began it.
     *
     * @param candidate route of the request
     * @return name of the service
     */
    String selectService(Route candidate) {
        String first = head.firstAttempt();
        return candidate.selectService(first == null ? requestId : first);
    }

    /**
     * Ends the exchange at the end of a stop.
     *
     * @param refusal refusal of a request that was not sent to an endpoint
     */
    void interrupt(Refusal refusal) {
        interruptionHandler.accept(refusal);
    }

    /**
     * Records that messages of endpoints are held until the response has ended.
     *
     * @param change their size in bytes, negative if bytes were released
     */
    void recordHeldBytes(int change) {
        heldBytes.add(change);
    }

    /**
     * Records a large message of an endpoint before it is read, once there is memory for it.
     *
     * @param bytes its size in bytes
     * @param reader starts to read the message; not called if the exchange ends before
     */
    void awaitMemory(int bytes, Runnable reader) {
        heldBytes.whenRoom(bytes, reader);
    }

    /** Releases the messages of this request, which need most of the memory for all requests. */
    private void giveUpMessages() {
        if (isEnded) {
            LOGGER.warn("response given up id={} cause={}", requestId, RefusalCause.MEMORY_EXHAUSTED);
            GuardedConnections.abort(request.connection());
            return;
        }
        interrupt(new Refusal(RefusalCause.MEMORY_EXHAUSTED, MEMORY_RETRY_AFTER_MILLIS));
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

    /**
     * Software version of the endpoints that may serve the request.
     *
     * @return the version, null if all may
     */
    @Nullable
    String requiredVersion() {
        return requiredVersion;
    }

    /**
     * Restricts the request to the endpoints of one software version, because endpoints of different versions do not
     * produce the same events.
     *
     * @param version version of the endpoint at which the stream began
     */
    void requireVersion(String version) {
        requiredVersion = version;
    }

    Buffer body() {
        return body;
    }

    boolean isEnded() {
        return isEnded;
    }

    long remainingMillis() {
        return deadlineMillis - clock.millis();
    }

    long elapsedMillis() {
        return clock.millis() - receivedAtMillis;
    }

    /**
     * Forwards an endpoint's complete response.
     *
     * @param status HTTP status
     * @param headers headers
     * @param responseBody the complete body
     * @param endpointId endpoint that responded, for the log
     */
    void forward(int status, MultiMap headers, Buffer responseBody, String endpointId) {
        if (abortIfStarted("a complete response") || !tryEnd("forwarded", status, endpointId)) {
            return;
        }
        response().setStatusCode(status).headers().addAll(headers);
        // The network library copies the body to write it, and keeps both until the caller has read them.
        heldBytes.add(responseBody.length());
        endAfterWrite(response().end(responseBody));
    }

    /**
     * Refuses the request as not run.
     *
     * @param refusal cause and suggested retry delay
     */
    void refuse(Refusal refusal) {
        String outcome = refusal.cause().name().toLowerCase(Locale.ROOT);
        String retry = refusal.retryAfterMillis() > 0 ? "retryAfterMillis=" + refusal.retryAfterMillis() : "none";
        if (abortIfStarted("a refusal") || !tryEnd(outcome, refusal.cause().status(), "none", retry)) {
            return;
        }
        metrics.recordRejection(service, outcome);
        if (refusal.retryAfterMillis() > 0) {
            response().putHeader("Retry-After", Double.toString(refusal.retryAfterMillis() / MILLIS_PER_SECOND));
        }
        sendError(refusal.cause().status(), "not_run", refusal.cause().name());
    }

    /**
     * Fails a request that may have run.
     *
     * @param cause description of the failure for the caller and the log
     * @param timedOut whether the deadline passed
     */
    void fail(String cause, boolean timedOut) {
        int status = timedOut ? GATEWAY_TIMEOUT : BAD_GATEWAY;
        if (!abortIfStarted(cause) && tryEnd(timedOut ? "timed_out" : "failed", status, "none", cause)) {
            sendError(status, "unknown_outcome", cause);
        }
    }

    /**
     * Aborts a response that has begun and cannot be completed. Closes the connection, so that the response does not
     * look complete.
     *
     * @param cause description of the failure for the log
     */
    void abort(String cause) {
        if (tryEnd("aborted", 0, "none", cause)) {
            request.connection().close();
            end();
        }
    }

    /**
     * Completes a response whose body has been streamed.
     *
     * @param endpointId endpoint that responded, for the log
     */
    void complete(String endpointId) {
        if (tryEnd("completed", response().getStatusCode(), endpointId)) {
            endAfterWrite(response().end());
        }
    }

    /** Aborts a response that has begun, since no other response can take its place. */
    private boolean abortIfStarted(String replacement) {
        boolean isStarted = response().headWritten();
        if (isStarted) {
            abort("the response has begun and cannot be replaced by: " + replacement);
        }
        return isStarted;
    }

    /**
     * Ends the exchange after the write, because a stopping router closes the connection once the exchange has ended.
     */
    private void endAfterWrite(Future<Void> write) {
        if (write.isComplete()) {
            end();
            return;
        }
        write.timeout(maximumWriteMillis, TimeUnit.MILLISECONDS).onComplete(written -> {
            if (written.failed()) {
                LOGGER.info(
                        "response not written id={} cause={}",
                        requestId,
                        written.cause().toString());
                GuardedConnections.abort(request.connection());
            }
            end();
        });
    }

    private void end() {
        // The connection refers to this exchange until its next request.
        body = Buffer.buffer();
        disconnectHandler = () -> {};
        timeoutHandler = () -> {};
        interruptionHandler = ignored -> {};
        heldBytes.close();
        onEnd.run();
    }

    private void sendError(int status, String type, String message) {
        endAfterWrite(response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(CallerErrors.body(type, message).toBuffer()));
    }

    private void handleDisconnect() {
        if (tryEnd("caller_left", 0, "none")) {
            disconnectHandler.run();
            end();
        }
    }

    private boolean tryEnd(String outcome, int status, String endpointId) {
        return tryEnd(outcome, status, endpointId, "none");
    }

    private boolean tryEnd(String outcome, int status, String endpointId, String cause) {
        if (isEnded) {
            return false;
        }
        isEnded = true;
        vertx.cancelTimer(timeoutTimer);
        LOGGER.info(
                "request ended id={} route={} service={} outcome={} status={} endpoint={} cause=\"{}\""
                        + " elapsedMillis={}",
                requestId,
                route.name(),
                service,
                outcome,
                status,
                endpointId,
                cause,
                elapsedMillis());
        metrics.recordRequest(service, outcome, elapsedMillis());
        return true;
    }
}
