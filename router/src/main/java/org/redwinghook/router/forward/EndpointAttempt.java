package org.redwinghook.router.forward;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.RunningRequest;

/** One request at one endpoint: its exchange and its share of the endpoint's work. */
final class EndpointAttempt {

    /** Status of an endpoint that is not the one that the request names. */
    static final int MISDIRECTED = 421;

    /** Longest time for connecting to an endpoint, in milliseconds; several round trips between regions. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final KnownEndpoint endpoint;
    private final EndpointExchange exchange;
    private final RunningRequest runningRequest;
    private boolean isEnded;

    EndpointAttempt(
            ForwardContext context,
            CallerExchange caller,
            KnownEndpoint endpoint,
            EndpointExchange exchange,
            RunningRequest running) {
        this.context = context;
        this.caller = caller;
        this.endpoint = endpoint;
        this.exchange = exchange;
        this.runningRequest = running;
    }

    KnownEndpoint endpoint() {
        return endpoint;
    }

    String endpointId() {
        return endpoint.entry().id();
    }

    /** Counts the request as work of the endpoint. */
    void recordStart() {
        context.ledger().add(runningRequest);
        endpoint.pacing().recordRequest(context.clock().millis());
    }

    /**
     * Sends the request.
     *
     * @param copy copy of the run's memory to go on from, null for a new run
     * @param lastEventId last event that the caller has, null for a new run
     * @return the head of the answer
     */
    Future<HttpClientResponse> send(@Nullable MemoryCopy copy, @Nullable String lastEventId) {
        long remainingMillis = Math.max(1, caller.remainingMillis());
        EndpointRequestHead head = new EndpointRequestHead(
                endpointId(),
                remainingMillis,
                caller.access() == null ? null : caller.access().customer(),
                copy,
                lastEventId);
        return exchange.send(
                context.client(),
                Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis),
                caller.request().method(),
                caller.request().uri(),
                context.protocol().endpointHeaders(caller.request().headers(), head),
                caller.body());
    }

    /**
     * Reads the head of an answer and the load that it reports.
     *
     * @param response the answer
     * @return its head
     */
    ResponseHead readResponseHead(HttpClientResponse response) {
        ResponseHead head = context.protocol().readResponseHead(response);
        if (head.waitingRequests() >= 0) {
            endpoint.recordWaitingRequests(
                    head.waitingRequests(), context.clock().millis());
        }
        return head;
    }

    /**
     * Whether an answer is whole so far and the request's own.
     *
     * @param head head of the answer
     * @return false if nothing of it may reach the caller
     */
    boolean isValidResponse(ResponseHead head) {
        return head.intact() && head.belongsTo(caller.requestId());
    }

    /**
     * Passes a whole answer on to the caller.
     *
     * @param response head of the answer
     * @param body its body
     */
    void forward(HttpClientResponse response, Buffer body) {
        caller.forward(response.statusCode(), context.protocol().callerHeaders(response), body, endpointId());
    }

    /** Ends the turn, which tells the endpoint to stop work on the request. */
    void end() {
        isEnded = true;
        context.ledger().remove(runningRequest);
        exchange.close();
    }

    boolean isEnded() {
        return isEnded;
    }

    /**
     * Whether the endpoint may have received the request.
     *
     * @return false if nothing was written
     */
    boolean isSent() {
        return exchange.isSent();
    }

    /**
     * Whether the endpoint may be at work on the request.
     *
     * @return false before it is sent and after the turn's end
     */
    boolean isInProgress() {
        return !isEnded && isSent();
    }
}
