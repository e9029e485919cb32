package org.redwinghook.standins.engine;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.jspecify.annotations.Nullable;
import org.redwinghook.standins.StandIn;

/** Generates numbered words at a steady pace. */
public final class EngineStandIn implements StandIn {

    private static final int USUAL_TOKENS = 16;

    private final Vertx vertx;
    private final int port;
    private final int tokenMillis;
    private final HttpServer server;

    /**
     * Creates an engine.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     * @param tokenMillis time for each token in milliseconds
     */
    public EngineStandIn(Vertx vertx, int port, int tokenMillis) {
        this.vertx = vertx;
        this.port = port;
        this.tokenMillis = tokenMillis;
        Router routes = Router.router(vertx);
        routes.route().handler(BodyHandler.create(false));
        routes.post("/v1/completions").handler(this::complete);
        routes.delete("/v1/generations/:id")
                .handler(context -> context.response().end());
        this.server = vertx.createHttpServer().requestHandler(routes);
    }

    @Override
    public Future<Integer> start() {
        return server.listen(port, "127.0.0.1").map(HttpServer::actualPort);
    }

    @Override
    public Future<Void> stop() {
        return server.close();
    }

    private void complete(RoutingContext context) {
        JsonObject request = context.body().asJsonObject();
        int tokens = Math.min(request.getInteger("max_tokens", USUAL_TOKENS), USUAL_TOKENS);
        HttpServerResponse response =
                context.response().setChunked(true).putHeader("content-type", "text/event-stream");
        int[] sent = {0};
        vertx.setPeriodic(tokenMillis, timer -> {
            if (response.closed() || response.ended()) {
                vertx.cancelTimer(timer);
                return;
            }
            sent[0]++;
            boolean last = sent[0] == tokens;
            response.write(event("word" + sent[0] + " ", last ? "stop" : null));
            if (last) {
                vertx.cancelTimer(timer);
                response.end("data: [DONE]\n\n");
            }
        });
    }

    private static String event(String text, @Nullable String finishReason) {
        JsonObject choice = new JsonObject().put("index", 0).put("text", text).put("finish_reason", finishReason);
        JsonObject event = new JsonObject().put("choices", new JsonArray().add(choice));
        return "data: " + event.encode() + "\n\n";
    }
}
