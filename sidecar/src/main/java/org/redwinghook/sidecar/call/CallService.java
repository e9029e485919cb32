package org.redwinghook.sidecar.call;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.CallRequest;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Submit;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.usage.EndpointUsage;

/** Runs calls at a plain service. */
public final class CallService {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final long RETRY_AFTER_MILLIS = 500;

    private final HttpClient client;
    private final Address address;
    private final EndpointGate gate;
    private final EndpointUsage usage;

    /**
     * Creates the service.
     *
     * @param vertx runs it
     * @param address the plain service
     * @param gate told of the ends of calls
     * @param usage counts calls
     */
    public CallService(Vertx vertx, Address address, EndpointGate gate, EndpointUsage usage) {
        // A pooled connection may die between calls; without keep-alive a failed connect proves that nothing was sent.
        this.client = vertx.createHttpClient(new HttpClientOptions()
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                .setKeepAlive(false));
        this.address = address;
        this.gate = gate;
        this.usage = usage;
    }

    /**
     * Runs an admitted call.
     *
     * @param connection connection to the router
     * @param submit the router's message; its call is present
     * @param item the request as it was admitted
     */
    public void start(PeerConnection connection, Submit submit, WorkItem item) {
        CallRequest call = submit.call();
        if (call == null) {
            return;
        }
        client.request(HttpMethod.valueOf(call.method()), address.port(), address.host(), call.path())
                .onFailure(failure -> notRun(connection, submit, item))
                .onSuccess(request -> send(request, connection, submit, call, item));
    }

    private void send(
            HttpClientRequest request, PeerConnection connection, Submit submit, CallRequest call, WorkItem item) {
        if (call.contentType() != null) {
            request.putHeader("content-type", call.contentType());
        }
        if (call.idempotencyKey() != null) {
            request.putHeader("idempotency-key", call.idempotencyKey());
        }
        usage.call(submit);
        request.send(Buffer.buffer(call.body()))
                .compose(response -> response.body().map(body -> answer(submit, response, body)))
                .onSuccess(answer -> {
                    gate.finished(item.identifier(), true);
                    connection.send(answer);
                })
                .onFailure(failure -> {
                    gate.finished(item.identifier(), false);
                    connection.send(new OutcomeUnknown(
                            submit.exchange(), "the connection to the service broke during the call"));
                });
    }

    private CallAnswer answer(Submit submit, HttpClientResponse response, Buffer body) {
        return new CallAnswer(
                submit.exchange(),
                response.statusCode(),
                response.getHeader("content-type"),
                body.getBytes(),
                false,
                gate.load());
    }

    private void notRun(PeerConnection connection, Submit submit, WorkItem item) {
        gate.finished(item.identifier(), false);
        connection.send(new Refused(
                submit.exchange(),
                RefusalReason.ENDPOINT_DOWN,
                "the service does not accept connections",
                RETRY_AFTER_MILLIS,
                gate.load()));
    }
}
