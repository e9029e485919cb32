package org.redwinghook.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/** Plain service that counts its effects and can delay or lose answers. */
final class FaultyService {

    /** How a request is answered after its effect. */
    enum Mode {
        ANSWER,
        /** The answer waits for {@link #release}. */
        HOLD,
        /** The connection is closed, as when the service fails during the call. */
        BREAK
    }

    private final HttpServer server;
    private final List<HttpServerRequest> held = new ArrayList<>();
    private Mode mode = Mode.ANSWER;
    private String answer = "effect";
    private int effects;

    FaultyService(Vertx vertx, int port) {
        server = vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> handle(request)))
                .listen(port, "127.0.0.1")
                .await();
    }

    int port() {
        return server.actualPort();
    }

    void stop() {
        server.close().await();
    }

    synchronized void setMode(Mode value) {
        mode = value;
    }

    synchronized void setAnswer(String value) {
        answer = value;
    }

    synchronized int effects() {
        return effects;
    }

    synchronized void release() {
        mode = Mode.ANSWER;
        held.forEach(request -> request.response().end(answer));
        held.clear();
    }

    private synchronized void handle(HttpServerRequest request) {
        effects++;
        switch (mode) {
            case ANSWER -> request.response().end(answer);
            case HOLD -> held.add(request);
            default -> request.connection().close();
        }
    }
}
