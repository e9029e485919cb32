package org.redwinghook.sidecar.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.GenerationRequest;
import org.redwinghook.runtime.http.BoundedRequest;
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.settings.Address;

/** HTTP client of a model engine that streams completions as server-sent events. */
public final class EngineClient {

    private static final int MAXIMUM_CONNECTIONS = 1_000;

    /** Maximum time for which the answer to a cancellation is awaited, in milliseconds. */
    private static final long CANCEL_TIMEOUT_MILLIS = 1_000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Vertx vertx;
    private final HttpClient client;
    private final Address address;

    /**
     * Creates a client.
     *
     * @param vertx Vert.x instance of the process
     * @param address address of the engine
     */
    public EngineClient(Vertx vertx, Address address) {
        this.vertx = vertx;
        this.address = address;
        this.client = vertx.createHttpClient(
                // Answers name no request; on a kept connection a repeated one would be taken for the next one's.
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setKeepAlive(false),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
    }

    /**
     * Starts a generation.
     *
     * @param identifier identifier of the generation at the engine
     * @param request model, prompt and length limit
     * @param priority priority at the engine; lower numbers go first
     * @param listener receives the events of the generation
     * @return the stream of the generation
     */
    public EngineStream generate(String identifier, GenerationRequest request, int priority, EngineListener listener) {
        JsonObject body = new JsonObject()
                .put("request_id", identifier)
                .put("model", request.model())
                .put("prompt", request.prompt())
                .put("max_tokens", request.maximumOutputTokens())
                .put("priority", priority)
                .put("stream", true);
        EngineStream stream = new EngineStream(vertx, this, identifier, listener);
        client.request(HttpMethod.POST, address.port(), address.host(), "/v1/completions")
                .onFailure(failure -> listener.onRefused())
                .onSuccess(httpRequest -> {
                    if (!stream.isEnded()) {
                        listener.onConnected();
                    }
                    stream.open(httpRequest.putHeader("content-type", "application/json"), body.toBuffer());
                });
        return stream;
    }

    /**
     * Cancels a generation to free the engine's memory. Failures are ignored, since the engine drops generations whose
     * stream is closed.
     *
     * @param identifier identifier of the generation at the engine
     */
    public void cancel(String identifier) {
        client.request(HttpMethod.DELETE, address.port(), address.host(), generationPath(identifier))
                .compose(request -> BoundedRequest.send(request, Buffer.buffer(), CANCEL_TIMEOUT_MILLIS))
                .compose(response -> MessageBody.read(response, CANCEL_TIMEOUT_MILLIS));
    }

    /**
     * Reads the engine's load report.
     *
     * @param timeoutMillis maximum time to the head of the response, in milliseconds
     * @return the response
     */
    Future<HttpClientResponse> readLoad(long timeoutMillis) {
        return client.request(HttpMethod.GET, address.port(), address.host(), "/load")
                .compose(request -> BoundedRequest.send(request, Buffer.buffer(), timeoutMillis));
    }

    /**
     * Reads the engine's state: the model, version, adapters and role that it serves.
     *
     * @param timeoutMillis maximum time to the head of the response, in milliseconds
     * @return the response
     */
    Future<HttpClientResponse> readState(long timeoutMillis) {
        return client.request(HttpMethod.GET, address.port(), address.host(), "/state")
                .compose(request -> BoundedRequest.send(request, Buffer.buffer(), timeoutMillis));
    }

    /**
     * Sends a command to the engine.
     *
     * @param body the command
     * @param timeoutMillis maximum time to the head of the response, in milliseconds
     * @return the response
     */
    Future<HttpClientResponse> sendCommand(Buffer body, long timeoutMillis) {
        return client.request(HttpMethod.POST, address.port(), address.host(), "/commands")
                .compose(request -> BoundedRequest.send(
                        request.putHeader("content-type", "application/json"), body, timeoutMillis));
    }

    /**
     * Prepares to reopen the stream of a running generation.
     *
     * @param identifier identifier of the generation at the engine
     * @param receivedTokens number of tokens already received
     * @return the request, not yet sent
     */
    Future<HttpClientRequest> reopenStream(String identifier, long receivedTokens) {
        String path = generationPath(identifier) + "/stream?after=" + receivedTokens;
        return client.request(HttpMethod.GET, address.port(), address.host(), path);
    }

    private static String generationPath(String identifier) {
        return "/v1/generations/" + identifier;
    }
}
