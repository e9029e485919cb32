package org.redwinghook.standins.plain;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.redwinghook.standins.StandIn;

/** Answers each call with its number and remembers every call that changed something. */
public final class PlainServiceStandIn implements StandIn {

    private final int port;
    private final HttpServer server;
    private final List<JsonObject> effects = new ArrayList<>();

    /**
     * Creates a service without effects.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     */
    public PlainServiceStandIn(Vertx vertx, int port) {
        this.port = port;
        Router routes = Router.router(vertx);
        routes.route().handler(BodyHandler.create(false));
        routes.get("/effects").handler(context -> context.response()
                .putHeader("content-type", "application/json")
                .end(new JsonArray(effects).encode()));
        routes.route().handler(this::answer);
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

    private void answer(RoutingContext context) {
        JsonObject answer = new JsonObject()
                .put("path", context.request().path())
                .put("method", context.request().method().name());
        if (!"GET".equals(context.request().method().name())) {
            effects.add(new JsonObject()
                    .put("path", context.request().path())
                    .put("key", context.request().getHeader("idempotency-key")));
            answer.put("effect", effects.size());
        }
        context.response().putHeader("content-type", "application/json").end(answer.encode());
    }
}
