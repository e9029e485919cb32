package org.redwinghook.router.forward;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.MultiMap;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpClosedException;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.runtime.http.InterimResponses;

/**
 * One request to an endpoint on a connection of its own. A new connection for each request protects other requests from
 * late or duplicate responses and from connections that the endpoint has dropped silently.
 */
public final class EndpointExchange {

    private final EndpointEntry endpoint;
    private @Nullable Future<HttpClientConnection> connectionFuture;
    private @Nullable HttpClientConnection connection;
    private boolean connectionLost;
    private boolean isSent;
    private boolean cancelled;
    private BooleanSupplier maySend = () -> true;

    private EndpointExchange(EndpointEntry endpoint) {
        this.endpoint = endpoint;
    }

    /**
     * Creates an exchange without connecting.
     *
     * @param endpoint destination of the request
     * @return the exchange, not yet started
     */
    public static EndpointExchange to(EndpointEntry endpoint) {
        return new EndpointExchange(endpoint);
    }

    /**
     * Sets a condition that is checked when the connection is open, just before the request is written.
     *
     * @param condition returns false if the request must not be sent any more
     */
    void sendOnlyIf(BooleanSupplier condition) {
        maySend = condition;
    }

    /**
     * Opens the connection before the request is sent. A connection that is open already is kept.
     *
     * @param client the HTTP client
     * @return the connection
     */
    public Future<HttpClientConnection> connect(HttpClientAgent client) {
        Future<HttpClientConnection> existing = connectionFuture;
        if (existing != null && !existing.failed() && !connectionLost) {
            return existing;
        }
        connectionLost = false;
        // An address that the client rejects fails the future like one that cannot be reached.
        Future<HttpClientConnection> opening = Future.succeededFuture()
                .compose(ignored -> client.connect(
                        new HttpConnectOptions().setHost(endpoint.host()).setPort(endpoint.port())));
        connectionFuture = opening;
        opening.onSuccess(this::handleConnected);
        return opening;
    }

    /**
     * Sends the request, on the connection that was opened for it or on a new one.
     *
     * @param client the HTTP client
     * @param barrier delays the request while the event loop is late
     * @param connectTimeoutMillis connect timeout, in milliseconds
     * @param method method of the request
     * @param uri path and query of the request
     * @param headers its headers
     * @param body its body
     * @return the response, completed when its head has arrived
     */
    Future<HttpClientResponse> send(
            HttpClientAgent client,
            PollBarrier barrier,
            long connectTimeoutMillis,
            HttpMethod method,
            String uri,
            MultiMap headers,
            Buffer body) {
        Promise<HttpClientResponse> responsePromise = Promise.promise();
        connect(client)
                .timeout(connectTimeoutMillis, TimeUnit.MILLISECONDS)
                .compose(connected -> {
                    if (cancelled) {
                        return Future.failedFuture("cancelled");
                    }
                    connected.closeHandler(ignored ->
                            responsePromise.tryFail(new HttpClosedException("the endpoint closed the connection")));
                    return connected.request(new RequestOptions()
                            .setMethod(method)
                            .setHost(endpoint.host())
                            .setPort(endpoint.port())
                            .setURI(uri)
                            .setHeaders(headers));
                })
                .onFailure(failure -> {
                    cancelled = true;
                    responsePromise.tryFail(failure);
                })
                .onSuccess(request -> barrier.run(() -> write(request, body, responsePromise)));
        return responsePromise.future();
    }

    /**
     * Whether the endpoint may have received the request.
     *
     * @return false if the request was never written
     */
    public boolean isSent() {
        return isSent;
    }

    /**
     * Whether a failure means that the endpoint closed the connection, as its process does when it crashes.
     *
     * @param failure the failure of a request that was sent
     * @return false if the endpoint sent something that is not a response
     */
    static boolean isClosedConnection(Throwable failure) {
        return failure instanceof HttpClosedException || failure instanceof IOException;
    }

    /**
     * Endpoint of the exchange.
     *
     * @return its entry
     */
    public EndpointEntry endpoint() {
        return endpoint;
    }

    /** Closes the connection, which makes the endpoint stop work on the request. */
    public void close() {
        cancelled = true;
        HttpClientConnection open = connection;
        if (open != null) {
            open.close();
        }
    }

    private void handleConnected(HttpClientConnection connected) {
        connection = connected;
        connected.closeHandler(ignored -> connectionLost = true);
        if (cancelled) {
            connected.close();
        }
    }

    private void write(HttpClientRequest request, Buffer body, Promise<HttpClientResponse> responsePromise) {
        if (cancelled) {
            responsePromise.tryFail("cancelled");
            return;
        }
        if (!maySend.getAsBoolean()) {
            responsePromise.tryFail("the endpoint announced that it leaves or pauses");
            close();
            return;
        }
        isSent = true;
        InterimResponses.limit(request, responsePromise::tryFail);
        request.exceptionHandler(responsePromise::tryFail);
        request.response().onSuccess(responsePromise::tryComplete).onFailure(responsePromise::tryFail);
        request.end(body);
    }
}
