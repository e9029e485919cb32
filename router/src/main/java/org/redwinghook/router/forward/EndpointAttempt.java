package org.redwinghook.router.forward;

import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.RunningRequest;
import org.redwinghook.core.receive.ReceiveLimits;
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.http.ResponseStatus;

/** One attempt of a request at one endpoint: its exchange and its entry in the work ledger. */
final class EndpointAttempt {

    /** Size above which an answer is read only while there is memory for it, in bytes. */
    private static final int LARGE_BODY_BYTES = 16 * 1024;

    /** HTTP status of an endpoint that is not the one named in the request. */
    static final int MISDIRECTED_REQUEST = 421;

    /** HTTP statuses by which callers understand that their request has not run and may be sent again. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

    /** Timeout for connecting to an endpoint, in milliseconds: several round trips between regions. */
    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final KnownEndpoint endpoint;
    private final EndpointExchange exchange;
    private final RunningRequest runningRequest;
    private long startedAtMillis;
    private Runnable releaseBody = () -> {};
    private boolean isEnded;

    EndpointAttempt(
            ForwardContext context,
            CallerExchange caller,
            KnownEndpoint endpoint,
            EndpointExchange exchange,
            RunningRequest runningRequest) {
        this.context = context;
        this.caller = caller;
        this.endpoint = endpoint;
        this.exchange = exchange;
        this.runningRequest = runningRequest;
    }

    KnownEndpoint endpoint() {
        return endpoint;
    }

    String endpointId() {
        return endpoint.entry().id();
    }

    /** Software version of the endpoint according to the entry to which the request is sent. */
    String version() {
        return exchange.endpoint().version();
    }

    /** Adds the request to the work of the endpoint. */
    void recordStart() {
        startedAtMillis = context.clock().millis();
        context.ledger().add(runningRequest);
        endpoint.pacing().recordRequest(context.clock().millis());
        context.observers().notify(observer -> observer.handleStart(caller, endpoint));
    }

    /**
     * Sends the request.
     *
     * @param copy copy of the run's memory to continue from, null for a new run
     * @param lastEventId identifier of the last event that the caller has received, null for a new run
     * @return the response, completed when its head has arrived
     */
    Future<HttpClientResponse> send(@Nullable MemoryCopy copy, @Nullable String lastEventId) {
        long remainingMillis = Math.max(1, caller.remainingMillis());
        exchange.sendOnlyIf(() -> copy != null || maySendNewRun());
        EndpointRequestHead head = new EndpointRequestHead(
                endpointId(),
                remainingMillis,
                caller.access() == null ? null : caller.access().customer(),
                copy,
                lastEventId);
        return exchange.send(
                context.client(),
                context.pollBarrier(),
                Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis),
                caller.request().method(),
                caller.request().uri(),
                context.protocol().endpointHeaders(caller.request().headers(), head),
                caller.body());
    }

    /** Whether a new run may begin: a run that continues from a copy may return to an engine that leaves. */
    private boolean maySendNewRun() {
        return !endpoint.isDeparting()
                && context.notices()
                        .maySendAssigned(endpoint.entry(), context.clock().millis());
    }

    /**
     * Reads the head of a response.
     *
     * @param response the response
     * @return its head
     */
    ResponseHead readResponseHead(HttpClientResponse response) {
        recordResponse();
        ResponseHead head = context.protocol().readResponseHead(response);
        if (ResponseStatus.isFinal(head.status())) {
            context.observers().notify(observer -> observer.handleResponseHead(caller, endpoint, head));
        }
        return head;
    }

    /** Records that a part of the response has arrived. */
    void recordResponse() {
        context.promptGuard().recordResponse(endpoint.entry(), startedAtMillis);
    }

    /**
     * Finds a reason why no part of a response may reach the caller.
     *
     * @param head head of the response
     * @return the failure, null if the response is intact so far and belongs to the request
     */
    @Nullable
    IllegalStateException findDefect(ResponseHead head) {
        if (!ResponseStatus.isFinal(head.status())) {
            return new IllegalStateException("the answer has status " + head.status());
        }
        return head.intact() && head.belongsTo(caller.requestId())
                ? null
                : new IllegalStateException("the answer is not the request's own");
    }

    /**
     * Reads the body of a response that is forwarded as a whole.
     *
     * @param response the response
     * @return the body; fails if it is truncated or larger than {@link ReceiveLimits#MAXIMUM_MESSAGE_BYTES}
     */
    Future<Buffer> readBody(HttpClientResponse response) {
        int declaredBytes = declaredBytes(response);
        boolean isLarge = declaredBytes > LARGE_BODY_BYTES;
        ReservedBytes held = new ReservedBytes(isLarge ? declaredBytes : 0);
        if (isLarge) {
            response.pause();
        }
        Future<Buffer> body = MessageBody.read(response, ReceiveLimits.MAXIMUM_MESSAGE_BYTES, held::add);
        if (isLarge) {
            caller.awaitMemory(declaredBytes, response::resume);
        }
        releaseBody = () -> {
            if (!body.isComplete()) {
                MessageBody.discard(response);
            }
        };
        body.onComplete(ignored -> releaseBody = () -> {});
        return body;
    }

    /** Size of a body that its head declares, in bytes, 0 if there is none; larger ones are refused while they are read. */
    private static int declaredBytes(HttpClientResponse response) {
        String declared = response.getHeader("Content-Length");
        try {
            long bytes = declared == null ? 0 : Long.parseLong(declared.trim());
            return (int) Math.max(0, Math.min(ReceiveLimits.MAXIMUM_MESSAGE_BYTES, bytes));
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }

    /** Counts the memory of a body beyond what was recorded before it was read. */
    private final class ReservedBytes {

        private int remaining;

        ReservedBytes(int remaining) {
            this.remaining = remaining;
        }

        private void add(int change) {
            int covered = Math.min(remaining, change);
            remaining -= covered;
            if (change > covered) {
                caller.recordHeldBytes(change - covered);
            }
        }
    }

    /**
     * Whether a response marks the end of its body.
     *
     * @param response the response
     * @return false if its body ends with its connection
     */
    static boolean isFramed(HttpClientResponse response) {
        return response.getHeader("Transfer-Encoding") != null || response.getHeader("Content-Length") != null;
    }

    /**
     * Forwards a complete response to the caller. A status that tells the caller that its request has not run is not
     * forwarded if the endpoint has not stated this and the request must not run twice.
     *
     * @param response head of the response
     * @param body its body
     */
    void forward(HttpClientResponse response, Buffer body) {
        int status = response.statusCode();
        if (NOT_RUN_STATUSES.contains(status) && !caller.route().mayRunAgain()) {
            caller.fail("the endpoint answered " + status + " without stating that it did not run the request", false);
            return;
        }
        caller.forward(status, context.protocol().callerHeaders(response), body, endpointId());
    }

    /**
     * Ends the attempt and closes its connection, which makes the endpoint stop work on the request.
     *
     * @param outcome how the attempt ended; ignored if it has ended before
     */
    void end(AttemptOutcome outcome) {
        boolean wasRunning = !isEnded;
        isEnded = true;
        if (wasRunning) {
            long sinceStartMillis = context.clock().millis() - startedAtMillis;
            context.observers().notify(observer -> observer.handleEnd(caller, endpoint, outcome, sinceStartMillis));
        }
        context.ledger().remove(runningRequest);
        // The connection closes later, and many attempts may end together when memory is short.
        releaseBody.run();
        exchange.close();
        if (wasRunning && runningRequest.work().heldTokens() > 0 && endpoint.isLeaving()) {
            // Other routers wait for this run before they copy theirs.
            context.reportWork().run();
        }
    }

    /** Outcome of an attempt whose exchange failed. */
    AttemptOutcome failureOutcome() {
        return isSent() ? AttemptOutcome.BROKEN : AttemptOutcome.UNREACHABLE;
    }

    /**
     * Time at which the attempt began.
     *
     * @return the time, not after that of sending the request
     */
    long startedAtMillis() {
        return startedAtMillis;
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
     * Whether the endpoint may be working on the request.
     *
     * @return false before the request is sent and after the attempt has ended
     */
    boolean isInProgress() {
        return !isEnded && isSent();
    }
}
