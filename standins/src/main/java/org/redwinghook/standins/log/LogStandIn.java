package org.redwinghook.standins.log;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.redwinghook.standins.StandIn;

/** An append-only log in memory with streams, offsets from 1 and no retention limit. */
public final class LogStandIn implements StandIn {

    private static final int USUAL_LIMIT = 1_000;

    private final int port;
    private final HttpServer server;
    private final Map<String, List<Entry>> streams = new HashMap<>();

    /**
     * Creates a log without records.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     */
    public LogStandIn(Vertx vertx, int port) {
        this.port = port;
        Router routes = Router.router(vertx);
        routes.route().handler(BodyHandler.create(false));
        routes.post("/streams/:stream/records").handler(this::append);
        routes.get("/streams/:stream/records").handler(this::read);
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

    private void append(RoutingContext context) {
        List<Entry> stream = streams.computeIfAbsent(context.pathParam("stream"), name -> new ArrayList<>());
        Buffer body = context.body().buffer();
        stream.add(new Entry(System.currentTimeMillis(), body == null ? new byte[0] : body.getBytes()));
        context.response()
                .putHeader("content-type", "application/json")
                .end(new JsonObject().put("offset", stream.size()).encode());
    }

    private void read(RoutingContext context) {
        List<Entry> stream = streams.getOrDefault(context.pathParam("stream"), List.of());
        int from = Math.max(1, number(context, "from", 1));
        int last = Math.min(stream.size(), from - 1 + number(context, "limit", USUAL_LIMIT));
        JsonArray records = new JsonArray();
        for (int offset = from; offset <= last; offset++) {
            Entry entry = stream.get(offset - 1);
            records.add(new JsonObject()
                    .put("offset", offset)
                    .put("timestampMillis", entry.timestampMillis())
                    .put("data", Base64.getEncoder().encodeToString(entry.data())));
        }
        JsonObject page =
                new JsonObject().put("first", 1).put("next", stream.size() + 1).put("records", records);
        context.response().putHeader("content-type", "application/json").end(page.encode());
    }

    private static int number(RoutingContext context, String name, int otherwise) {
        String value = context.request().getParam(name);
        return value == null ? otherwise : Integer.parseInt(value);
    }

    private record Entry(long timestampMillis, byte[] data) {}
}
