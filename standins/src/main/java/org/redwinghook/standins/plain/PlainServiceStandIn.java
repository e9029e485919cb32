package org.redwinghook.standins.plain;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.jspecify.annotations.Nullable;
import org.redwinghook.standins.StandIn;
import org.redwinghook.standins.http.FaultSwitches;
import org.redwinghook.standins.http.StandInServer;

/**
 * Plain service that records an effect for every call other than GET, keeps the effects across crashes, and does not
 * suppress duplicates, so that tests can detect calls that ran twice. Each response contains the identifier of its
 * request: the header X-Request-Id, or the field or query parameter {@code request}.
 */
public final class PlainServiceStandIn implements StandIn {

    private static final int HTTP_OK = 200;
    private static final String REQUEST_FIELD = "request";
    private static final String REQUEST_ID_HEADER = "x-request-id";

    private final Vertx vertx;
    private final StandInServer server;
    private final FaultSwitches<PlainServiceFaults> faults =
            new FaultSwitches<>(PlainServiceFaults.class, PlainServiceFaults.NONE);
    private final List<Effect> effects = new ArrayList<>();

    /**
     * Creates a service without recorded effects.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     */
    public PlainServiceStandIn(Vertx vertx, int port) {
        this.vertx = vertx;
        this.server = new StandInServer(vertx, port);
        faults.registerRoutes(server.routes());
        server.routes().post("/faults/refuse-connections").handler(context -> {
            long millis = StandInServer.parseLongParameter(
                    context, "millis", faults.current().restartMillis());
            context.response().end().onComplete(ignored -> refuseConnections(millis));
        });
        server.routes().get("/effects").handler(this::handleEffects);
        server.routes().route().handler(this::handleCall);
    }

    @Override
    public Future<Integer> start() {
        return server.start();
    }

    @Override
    public Future<Void> stop() {
        return server.stop();
    }

    /**
     * Returns the fault switches of this service.
     *
     * @return the switches
     */
    public FaultSwitches<PlainServiceFaults> faults() {
        return faults;
    }

    /**
     * Closes all connections and refuses new ones for the given time.
     *
     * @param millis time for which the port is closed, in milliseconds
     * @return a future that completes when connections are refused
     */
    public Future<Void> refuseConnections(long millis) {
        return server.refuseConnections(millis);
    }

    /**
     * Returns all effects in order.
     *
     * @return the effects
     */
    public synchronized List<Effect> effects() {
        return List.copyOf(effects);
    }

    /**
     * Returns the effects of the calls with an idempotency key.
     *
     * @param idempotencyKey the idempotency key
     * @return the effects in order
     */
    public List<Effect> effectsByIdempotencyKey(String idempotencyKey) {
        return effects().stream()
                .filter(effect -> effect.key().equals(idempotencyKey))
                .toList();
    }

    /**
     * Returns the effects of the calls with a request identifier.
     *
     * @param requestId the request identifier
     * @return the effects in order
     */
    public List<Effect> effectsByRequestId(String requestId) {
        return effects().stream()
                .filter(effect -> effect.request().equals(requestId))
                .toList();
    }

    private void handleEffects(RoutingContext context) {
        String idempotencyKey = context.request().getParam("key");
        String requestId = context.request().getParam(REQUEST_FIELD);
        JsonArray matching = new JsonArray();
        effects().stream()
                .filter(effect -> idempotencyKey == null || effect.key().equals(idempotencyKey))
                .filter(effect -> requestId == null || effect.request().equals(requestId))
                .forEach(effect -> matching.add(JsonObject.mapFrom(effect)));
        context.response().putHeader("content-type", "application/json").end(matching.encode());
    }

    private void handleCall(RoutingContext context) {
        PlainServiceFaults current = faults.current();
        if (current.dieBeforeEffectNext() > 0) {
            faults.update(latest -> latest.withDieBeforeEffectNext(latest.dieBeforeEffectNext() - 1));
            refuseConnections(current.restartMillis());
            return;
        }
        JsonObject response = execute(context);
        if (current.dieAfterEffectNext() > 0) {
            faults.update(latest -> latest.withDieAfterEffectNext(latest.dieAfterEffectNext() - 1));
            refuseConnections(current.restartMillis());
            return;
        }
        if (current.answerDelayMillis() > 0) {
            vertx.setTimer(current.answerDelayMillis(), timer -> StandInServer.respond(context, HTTP_OK, response));
            return;
        }
        StandInServer.respond(context, HTTP_OK, response);
    }

    private synchronized JsonObject execute(RoutingContext context) {
        String method = context.request().method().name();
        String path = context.request().path();
        String requestId = findRequestId(context);
        context.response().putHeader(REQUEST_ID_HEADER, requestId);
        JsonObject response =
                new JsonObject().put("path", path).put("method", method).put(REQUEST_FIELD, requestId);
        if (context.request().method().equals(HttpMethod.GET)) {
            return response;
        }
        String idempotencyKey = orEmpty(context.request().getHeader("idempotency-key"));
        effects.add(
                new Effect(effects.size() + 1, method, path, idempotencyKey, requestId, System.currentTimeMillis()));
        return response.put("effect", effects.size());
    }

    private static String findRequestId(RoutingContext context) {
        String header = context.request().getHeader(REQUEST_ID_HEADER);
        if (header != null) {
            return header;
        }
        String contentType = orEmpty(context.request().getHeader("content-type"));
        if (!contentType.startsWith("application/json")) {
            return orEmpty(context.request().getParam(REQUEST_FIELD));
        }
        JsonObject body = context.body().asJsonObject();
        return body == null ? "" : String.valueOf(body.getValue(REQUEST_FIELD, ""));
    }

    private static String orEmpty(@Nullable String value) {
        return value == null ? "" : value;
    }
}
