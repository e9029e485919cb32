package org.redwinghook.sidecar;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Log stand-in whose appends can be lost, delayed or left without an answer. */
final class FaultyLog {

    /** How appends are handled. */
    enum Mode {
        NORMAL,
        /** Takes effect, but the connection is closed without an answer. */
        LOSE_ANSWER,
        /** Takes effect only at {@link #appendDelayed}; the connection is closed without an answer. */
        DELAY,
        /** Takes effect but is never answered; reads are not answered either. */
        HANG,
        /** Does not take effect; the connections of appends and reads are closed without an answer. */
        DOWN
    }

    private final HttpServer server;
    private final Map<String, List<byte[]>> streams = new HashMap<>();
    private final List<Runnable> delayed = new ArrayList<>();
    private Mode mode = Mode.NORMAL;

    FaultyLog(Vertx vertx) {
        server = vertx.createHttpServer()
                .requestHandler(this::handle)
                .listen(0, "127.0.0.1")
                .await();
    }

    int port() {
        return server.actualPort();
    }

    synchronized void setMode(Mode value) {
        mode = value;
    }

    synchronized void appendDelayed() {
        delayed.forEach(Runnable::run);
        delayed.clear();
    }

    synchronized int records() {
        return streams.values().stream().mapToInt(List::size).sum();
    }

    synchronized boolean contains(String text) {
        return streams.values().stream().flatMap(List::stream).anyMatch(data -> new String(data).contains(text));
    }

    private void handle(HttpServerRequest request) {
        String stream = request.path().split("/")[2];
        if ("GET".equals(request.method().name())) {
            read(request, stream);
            return;
        }
        request.body().onSuccess(body -> append(request, stream, body));
    }

    private synchronized void append(HttpServerRequest request, String stream, Buffer body) {
        List<byte[]> records = streams.computeIfAbsent(stream, name -> new ArrayList<>());
        switch (mode) {
            case NORMAL -> {
                records.add(body.getBytes());
                request.response()
                        .end(new JsonObject().put("offset", records.size()).encode());
            }
            case LOSE_ANSWER -> {
                records.add(body.getBytes());
                request.connection().close();
            }
            case DELAY -> {
                delayed.add(() -> records.add(body.getBytes()));
                request.connection().close();
            }
            case HANG -> records.add(body.getBytes());
            default -> request.connection().close();
        }
    }

    private synchronized void read(HttpServerRequest request, String stream) {
        if (mode == Mode.DOWN) {
            request.connection().close();
        }
        if (mode == Mode.DOWN || mode == Mode.HANG) {
            return;
        }
        List<byte[]> records = streams.getOrDefault(stream, List.of());
        JsonArray found = new JsonArray();
        for (int offset = Integer.parseInt(request.getParam("from")); offset <= records.size(); offset++) {
            found.add(new JsonObject()
                    .put("offset", offset)
                    .put("timestampMillis", System.currentTimeMillis())
                    .put("data", Base64.getEncoder().encodeToString(records.get(offset - 1))));
        }
        JsonObject page =
                new JsonObject().put("first", 1).put("next", records.size() + 1).put("records", found);
        request.response().end(page.encode());
    }
}
