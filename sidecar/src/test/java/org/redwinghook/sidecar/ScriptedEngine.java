package org.redwinghook.sidecar;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Engine that generates as many tokens as the test allows and can break streams after a given token. */
final class ScriptedEngine {

    private final Context context;
    private final HttpServer server;
    private final int tokens;
    private final String padding;
    private final Map<String, Stream> streams = new HashMap<>();
    private final AtomicInteger writtenTokens = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private volatile int allowedTokens;
    private volatile int cutAfter = -1;
    private volatile boolean forgetsAtCut;
    private volatile boolean sendsMalformedEvents;
    private volatile String startedAt = "first";

    ScriptedEngine(Vertx vertx, int tokens, int paddingLength) {
        this.tokens = tokens;
        this.padding = "x".repeat(paddingLength);
        server = vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .await();
        context = vertx.getOrCreateContext();
    }

    int port() {
        return server.actualPort();
    }

    void stop() {
        server.close().await();
    }

    void allow(int count) {
        allowedTokens = count;
        context.runOnContext(ignored -> Map.copyOf(streams).values().forEach(this::pump));
    }

    void cutAfter(int count, boolean forgetsGeneration) {
        cutAfter = count;
        forgetsAtCut = forgetsGeneration;
    }

    void sendMalformedEvents() {
        sendsMalformedEvents = true;
    }

    void restart() {
        startedAt = "second";
    }

    int writtenTokens() {
        return writtenTokens.get();
    }

    int cancelled() {
        return cancelled.get();
    }

    private void handle(HttpServerRequest request) {
        if ("/load".equals(request.path())) {
            JsonObject load = new JsonObject().put("running", 0).put("started_at", startedAt);
            request.response().end(load.encode());
            return;
        }
        switch (request.method().name()) {
            case "POST" ->
                request.body()
                        .onSuccess(body -> context.runOnContext(
                                ignored -> open(new JsonObject(body).getString("request_id"), request, 0)));
            case "DELETE" -> {
                cancelled.incrementAndGet();
                request.response().end();
            }
            default -> context.runOnContext(ignored -> reopen(request));
        }
    }

    private void reopen(HttpServerRequest request) {
        String identifier = request.path().split("/")[3];
        if (!streams.containsKey(identifier)) {
            request.response().setStatusCode(404).end();
            return;
        }
        open(identifier, request, Integer.parseInt(request.getParam("after")));
    }

    private void open(String identifier, HttpServerRequest request, int after) {
        HttpServerResponse response = request.response().setChunked(true);
        Stream stream = new Stream(identifier, response, after);
        streams.put(identifier, stream);
        pump(stream);
    }

    private void pump(Stream stream) {
        while (stream.sent < Math.min(allowedTokens, tokens) && !stream.response.closed() && !stream.response.ended()) {
            if (stream.response.writeQueueFull()) {
                stream.response.drainHandler(ignored -> context.runOnContext(again -> pump(stream)));
                return;
            }
            stream.sent++;
            writtenTokens.incrementAndGet();
            boolean last = stream.sent == tokens;
            stream.response.write(sendsMalformedEvents ? "data: {\"choices\":7}\n\n" : event(stream.sent, last));
            if (stream.sent == cutAfter) {
                cut(stream);
                return;
            }
            if (last) {
                stream.response.end("data: [DONE]\n\n");
            }
        }
    }

    private void cut(Stream stream) {
        cutAfter = -1;
        if (forgetsAtCut) {
            streams.remove(stream.identifier);
        }
        stream.response.write("data: {").onComplete(ignored -> stream.response.reset());
    }

    private String event(int number, boolean last) {
        JsonObject choice = new JsonObject().put("text", "t" + number + " " + padding);
        choice.put("finish_reason", last ? "stop" : null);
        return "data: "
                + new JsonObject().put("choices", new JsonArray().add(choice)).encode() + "\n\n";
    }

    private static final class Stream {

        private final String identifier;
        private final HttpServerResponse response;
        private int sent;

        Stream(String identifier, HttpServerResponse response, int sent) {
            this.identifier = identifier;
            this.response = response;
            this.sent = sent;
        }
    }
}
