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
import org.redwinghook.runtime.settings.Address;

/** HTTP client of a model engine that streams completions as server-sent events. */
public final class EngineClient {

    private static final int MAXIMUM_CONNECTIONS = 1_000;

    /** A load report or state that takes longer to arrive is out of date. */
    private static final long STATUS_TIMEOUT_MILLIS = 1_000;

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
                    if (stream.isEnded()) {
                        httpRequest.connection().close();
                        return;
                    }
                    listener.onConnected();
                    stream.readFrom(httpRequest
                            .putHeader("content-type", "application/json")
                            .send(body.toBuffer()));
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
                .compose(HttpClientRequest::send);
    }

    /**
     * Reads the engine's load report.
     *
     * @return the response
     */
    Future<HttpClientResponse> readLoad() {
        return client.request(HttpMethod.GET, address.port(), address.host(), "/load")
                .compose(request -> {
                    request.idleTimeout(STATUS_TIMEOUT_MILLIS);
                    return request.send();
                });
    }

    /**
     * Reads the engine's state: the model, version, adapters and role that it serves.
     *
     * @return the response
     */
    Future<HttpClientResponse> readState() {
        return client.request(HttpMethod.GET, address.port(), address.host(), "/state")
                .compose(request -> {
                    request.idleTimeout(STATUS_TIMEOUT_MILLIS);
                    return request.send();
                });
    }

    /**
     * Sends a command to the engine.
     *
     * @param body the command
     * @return the response
     */
    Future<HttpClientResponse> sendCommand(Buffer body) {
        return client.request(HttpMethod.POST, address.port(), address.host(), "/commands")
                .compose(request ->
                        request.putHeader("content-type", "application/json").send(body));
    }

    /**
     * Reopens the stream of a running generation.
     *
     * @param identifier identifier of the generation at the engine
     * @param receivedTokens number of tokens already received
     * @return the response
     */
    Future<HttpClientResponse> reopenStream(String identifier, long receivedTokens) {
        String path = generationPath(identifier) + "/stream?after=" + receivedTokens;
        return client.request(HttpMethod.GET, address.port(), address.host(), path)
                .compose(HttpClientRequest::send);
    }

    private static String generationPath(String identifier) {
        return "/v1/generations/" + identifier;
    }
}
