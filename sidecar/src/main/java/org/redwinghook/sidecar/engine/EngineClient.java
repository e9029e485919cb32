package org.redwinghook.sidecar.engine;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.GenerationRequest;
import org.redwinghook.runtime.http.ServerSentEvents;
import org.redwinghook.runtime.settings.Address;

/** Client of a model engine that speaks the usual completions protocol with server-sent events. */
public final class EngineClient {

    private static final int MOST_CONNECTIONS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int HTTP_OK = 200;
    private static final String END_OF_STREAM = "[DONE]";

    private final HttpClient client;
    private final Address address;

    /**
     * Creates a client.
     *
     * @param vertx runs it
     * @param address the engine
     */
    public EngineClient(Vertx vertx, Address address) {
        this.address = address;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS));
    }

    /**
     * Starts a generation.
     *
     * @param identifier identifier of the generation at the engine
     * @param request what to generate
     * @param priority lower numbers go first
     * @param listener receives the tokens
     */
    public void generate(String identifier, GenerationRequest request, int priority, EngineListener listener) {
        JsonObject body = new JsonObject()
                .put("request_id", identifier)
                .put("model", request.model())
                .put("prompt", request.prompt())
                .put("max_tokens", request.maximumOutputTokens())
                .put("priority", priority)
                .put("stream", true);
        client.request(HttpMethod.POST, address.port(), address.host(), "/v1/completions")
                .onFailure(failure -> listener.failed("engine does not accept connections", false))
                .onSuccess(started -> send(started, body, new EngineStream(listener)));
    }

    /**
     * Cancels a generation. The engine's memory is freed; a failure changes nothing, since the engine forgets
     * generations whose stream is closed.
     *
     * @param identifier identifier of the generation at the engine
     */
    public void cancel(String identifier) {
        client.request(HttpMethod.DELETE, address.port(), address.host(), "/v1/generations/" + identifier)
                .compose(HttpClientRequest::send);
    }

    private static void send(HttpClientRequest request, JsonObject body, EngineStream stream) {
        request.putHeader("content-type", "application/json")
                .send(body.toBuffer())
                .onFailure(failure -> stream.fail("engine closed the connection"))
                .onSuccess(response -> read(response, stream));
    }

    private static void read(HttpClientResponse response, EngineStream stream) {
        if (response.statusCode() != HTTP_OK) {
            stream.fail("engine answered with status " + response.statusCode());
            return;
        }
        response.exceptionHandler(failure -> stream.fail("engine closed the connection"));
        response.endHandler(ignored -> stream.fail("engine ended the stream early"));
        response.handler(new ServerSentEvents(stream::data));
    }

    /** State of one stream; makes sure that the listener hears one end only. */
    private static final class EngineStream {

        private final EngineListener listener;
        private FinishReason reason = FinishReason.STOP;
        private boolean finishSeen;
        private boolean ended;

        EngineStream(EngineListener listener) {
            this.listener = listener;
        }

        void data(String data) {
            if (ended) {
                return;
            }
            if (END_OF_STREAM.equals(data)) {
                end();
                return;
            }
            JsonObject choice = new JsonObject(data).getJsonArray("choices").getJsonObject(0);
            String text = choice.getString("text", "");
            if (!text.isEmpty()) {
                listener.token(text);
            }
            String finish = choice.getString("finish_reason");
            if (finish != null) {
                finishSeen = true;
                reason = FinishReason.ofWireName(finish);
            }
        }

        void fail(String cause) {
            if (ended) {
                return;
            }
            ended = true;
            listener.failed(cause, true);
        }

        private void end() {
            if (!finishSeen) {
                fail("engine ended the stream without a finish reason");
                return;
            }
            ended = true;
            listener.finished(reason);
        }
    }
}
