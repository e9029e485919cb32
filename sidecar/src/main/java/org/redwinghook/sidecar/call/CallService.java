package org.redwinghook.sidecar.call;

import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.CallRequest;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.once.NotRunCause;
import org.redwinghook.core.once.OperationKey;
import org.redwinghook.core.once.OutcomeKind;
import org.redwinghook.core.once.StoredAnswer;
import org.redwinghook.runtime.http.BoundedRequest;
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.sidecar.once.ClaimListener;
import org.redwinghook.sidecar.once.KeyedCallService;
import org.redwinghook.sidecar.once.KeyedRun;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.usage.EndpointUsage;

/** Forwards calls to the endpoint of a plain service. */
public final class CallService {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    /** Large enough that the pool never delays an admitted call; the gate limits concurrency. */
    private static final int MAXIMUM_CONNECTIONS = 10_000;

    private static final long RETRY_AFTER_MILLIS = 500;

    /** Time after the deadline for which an answer is awaited, in milliseconds; the router has given up by then. */
    private static final long OVERTIME_MILLIS = 1_000;

    /** The same for keyed calls, whose answers are kept for repeats. */
    private static final long KEYED_OVERTIME_MILLIS = 30_000;

    private static final String CONNECTION_BROKEN_DETAIL = "the connection to the service broke during the call";

    private final HttpClient client;
    private final Address address;
    private final EndpointGate gate;
    private final KeyedCallService keyedCalls;
    private final EndpointUsage usage;

    /**
     * Creates the service.
     *
     * @param vertx Vert.x instance of the process
     * @param address address of the endpoint
     * @param gate admits keyed calls and records the end of every call
     * @param keyedCalls ensures that a keyed call runs at most once
     * @param usage counts calls by customer
     */
    public CallService(
            Vertx vertx, Address address, EndpointGate gate, KeyedCallService keyedCalls, EndpointUsage usage) {
        // A pooled connection may break between calls. Without keep-alive, a failed connect proves that nothing was
        // sent.
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAlive(false),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
        this.address = address;
        this.gate = gate;
        this.keyedCalls = keyedCalls;
        this.usage = usage;
    }

    /**
     * Whether the key of a call must be claimed on the log before the call may run.
     *
     * @param call the call
     * @return true for a non-idempotent call with an idempotency key
     */
    public static boolean isKeyed(CallRequest call) {
        return call.idempotencyKey() != null && !call.idempotent();
    }

    /**
     * Runs an admitted call without claiming its key.
     *
     * @param connection connection to the router
     * @param submit request of the router; contains a call
     * @param item the admitted request
     */
    public void start(PeerConnection connection, Submit submit, WorkItem item) {
        CallRequest call = submit.call();
        if (call != null) {
            run(call, item, result -> sendResult(connection, submit, result));
        }
    }

    /**
     * Runs a keyed call unless a call with the same key has already run. Admission is requested only after the call's
     * intent has won the key, so replays and calls that join a running one take no capacity at the endpoint.
     *
     * @param connection connection to the router
     * @param submit request of the router; contains a keyed call
     * @param item the request, not yet admitted
     */
    public void startKeyed(PeerConnection connection, Submit submit, WorkItem item) {
        CallRequest call = submit.call();
        if (call == null || call.idempotencyKey() == null) {
            return;
        }
        OperationKey key = new OperationKey(submit.customer(), call.idempotencyKey());
        long latestStart = keyedCalls.latestStart(item.deadlineMillis());
        WorkItem itemWithLatestStart = new WorkItem(
                item.identifier(),
                item.owner(),
                item.customer(),
                item.priority(),
                item.promptTokens(),
                item.maximumOutputTokens(),
                item.arrivalMillis(),
                latestStart);
        keyedCalls.claim(key, call, latestStart, new KeyedCall(connection, submit, call, itemWithLatestStart));
    }

    private void run(CallRequest call, WorkItem item, Consumer<CallResult> onResult) {
        Consumer<CallResult> reportResult = result -> {
            if (result.kind() != OutcomeKind.NOT_RUN) {
                usage.recordCall(item.owner(), item.customer());
            }
            gate.recordEnd(item.identifier(), result.kind() == OutcomeKind.DONE);
            onResult.accept(result);
        };
        client.request(HttpMethod.valueOf(call.method()), address.port(), address.host(), call.path())
                .onFailure(failure -> {
                    gate.recordRestart();
                    reportResult.accept(new CallResult(OutcomeKind.NOT_RUN, null));
                })
                .onSuccess(request -> send(request, call, remainingMillis(call, item), reportResult));
    }

    private static long remainingMillis(CallRequest call, WorkItem item) {
        long untilDeadlineMillis = Math.max(0, item.deadlineMillis() - EndpointGate.nowMillis());
        return untilDeadlineMillis + (isKeyed(call) ? KEYED_OVERTIME_MILLIS : OVERTIME_MILLIS);
    }

    private static void send(
            HttpClientRequest request, CallRequest call, long timeoutMillis, Consumer<CallResult> reportResult) {
        if (call.contentType() != null) {
            request.putHeader("content-type", call.contentType());
        }
        if (call.idempotencyKey() != null) {
            request.putHeader("idempotency-key", call.idempotencyKey());
        }
        long endMillis = EndpointGate.nowMillis() + timeoutMillis;
        BoundedRequest.send(request, Buffer.buffer(call.body()), timeoutMillis)
                .compose(response -> MessageBody.read(response, Math.max(1, endMillis - EndpointGate.nowMillis()))
                        .map(body -> toStoredAnswer(response, body)))
                .onSuccess(answer -> reportResult.accept(new CallResult(OutcomeKind.DONE, answer)))
                .onFailure(failure -> reportResult.accept(new CallResult(OutcomeKind.UNKNOWN, null)));
    }

    private static StoredAnswer toStoredAnswer(HttpClientResponse response, Buffer body) {
        return new StoredAnswer(response.statusCode(), response.getHeader("content-type"), body.getBytes());
    }

    private void sendResult(PeerConnection connection, Submit submit, CallResult result) {
        StoredAnswer answer = result.answer();
        if (answer != null) {
            connection.send(toCallAnswer(submit, answer, false));
        } else if (result.kind() == OutcomeKind.NOT_RUN) {
            refuse(connection, submit, RefusalReason.ENDPOINT_DOWN, "the service does not accept connections");
        } else {
            connection.send(new OutcomeUnknown(submit.exchange(), CONNECTION_BROKEN_DETAIL));
        }
    }

    private CallAnswer toCallAnswer(Submit submit, StoredAnswer answer, boolean replayed) {
        return new CallAnswer(
                submit.exchange(), answer.status(), answer.contentType(), answer.body(), replayed, gate.load());
    }

    private void refuse(PeerConnection connection, Submit submit, RefusalReason reason, String detail) {
        connection.send(new Refused(submit.exchange(), reason, detail, RETRY_AFTER_MILLIS, gate.load()));
    }

    /** Result of a call; the answer is present if the kind is {@code DONE}. */
    private record CallResult(OutcomeKind kind, @Nullable StoredAnswer answer) {}

    /** Runs the keyed call of one caller and sends the result to the router. */
    private final class KeyedCall implements ClaimListener {

        private final PeerConnection connection;
        private final Submit submit;
        private final CallRequest call;
        private final WorkItem item;

        KeyedCall(PeerConnection connection, Submit submit, CallRequest call, WorkItem item) {
            this.connection = connection;
            this.submit = submit;
            this.call = call;
            this.item = item;
        }

        @Override
        public void onRunGranted(KeyedRun keyedRun) {
            gate.offer(
                    item,
                    admitted -> runAdmitted(keyedRun),
                    detail -> keyedCalls.completeRun(keyedRun, OutcomeKind.NOT_RUN, null));
        }

        private void runAdmitted(KeyedRun keyedRun) {
            if (item.deadlineMillis() <= EndpointGate.nowMillis()) {
                gate.recordEnd(item.identifier(), false);
                keyedCalls.completeRun(keyedRun, OutcomeKind.NOT_RUN, null);
                return;
            }
            CallService.this.run(
                    call, item, result -> keyedCalls.completeRun(keyedRun, result.kind(), result.answer()));
        }

        @Override
        public void onAnswered(StoredAnswer answer, boolean replayed) {
            connection.send(toCallAnswer(submit, answer, replayed));
        }

        @Override
        public void onNotRun(NotRunCause cause) {
            RefusalReason reason =
                    switch (cause) {
                        case LOG_UNAVAILABLE -> RefusalReason.LOG_UNAVAILABLE;
                        case ENDPOINT -> RefusalReason.ENDPOINT_DOWN;
                        case DEADLINE, EARLIER_ATTEMPT -> RefusalReason.OVERLOADED;
                    };
            refuse(connection, submit, reason, cause.detail());
        }

        @Override
        public void onKeyConflict() {
            refuse(
                    connection,
                    submit,
                    RefusalReason.KEY_REUSED,
                    "the idempotency key was used before with a different method, path or body");
        }

        @Override
        public void onOutcomeUnknown(String detail) {
            connection.send(new OutcomeUnknown(submit.exchange(), detail));
        }
    }
}
