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
 * Remembers the effect of every call other than GET, also across its death, and repeats the effect of a repeated call,
 * so that a checker finds calls that ran twice. Each answer echoes the identity of its request: the header
 * X-Request-Id, or the field or query parameter {@code request}.
 */
public final class PlainServiceStandIn implements StandIn {

    private static final int HTTP_OK = 200;
    private static final String REQUEST = "request";
    private static final String IDENTITY_HEADER = "x-request-id";

    private final Vertx vertx;
    private final StandInServer server;
    private final FaultSwitches<PlainServiceFaults> faults =
            new FaultSwitches<>(PlainServiceFaults.class, PlainServiceFaults.NONE);
    private final List<Effect> effects = new ArrayList<>();

    /**
     * Creates a service without effects.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     */
    public PlainServiceStandIn(Vertx vertx, int port) {
        this.vertx = vertx;
        this.server = new StandInServer(vertx, port);
        faults.mount(server.routes());
        server.routes().post("/faults/refuse-connections").handler(context -> {
            long millis =
                    StandInServer.number(context, "millis", faults.current().restartMillis());
            context.response().end().onComplete(ignored -> refuseConnections(millis));
        });
        server.routes().get("/effects").handler(this::listEffects);
        server.routes().route().handler(this::call);
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
     * Faults of this service.
     *
     * @return the switches
     */
    public FaultSwitches<PlainServiceFaults> faults() {
        return faults;
    }

    /**
     * Closes all connections and refuses new ones for a time.
     *
     * @param millis the time in milliseconds
     * @return completes when connections are refused
     */
    public Future<Void> refuseConnections(long millis) {
        return server.refuseConnections(millis);
    }

    /**
     * All effects in order.
     *
     * @return the effects
     */
    public synchronized List<Effect> effects() {
        return List.copyOf(effects);
    }

    /**
     * Effects of the calls with an idempotency key.
     *
     * @param key the key
     * @return the effects in order
     */
    public List<Effect> effectsOfKey(String key) {
        return effects().stream().filter(effect -> effect.key().equals(key)).toList();
    }

    /**
     * Effects of the calls with a request identity.
     *
     * @param request the identity
     * @return the effects in order
     */
    public List<Effect> effectsOfRequest(String request) {
        return effects().stream()
                .filter(effect -> effect.request().equals(request))
                .toList();
    }

    private void listEffects(RoutingContext context) {
        String key = context.request().getParam("key");
        String request = context.request().getParam(REQUEST);
        JsonArray listed = new JsonArray();
        effects().stream()
                .filter(effect -> key == null || effect.key().equals(key))
                .filter(effect -> request == null || effect.request().equals(request))
                .forEach(effect -> listed.add(JsonObject.mapFrom(effect)));
        context.response().putHeader("content-type", "application/json").end(listed.encode());
    }

    private void call(RoutingContext context) {
        PlainServiceFaults current = faults.current();
        if (current.dieBeforeEffectNext() > 0) {
            faults.update(now -> now.withDieBeforeEffectNext(now.dieBeforeEffectNext() - 1));
            refuseConnections(current.restartMillis());
            return;
        }
        JsonObject answer = perform(context);
        if (current.dieAfterEffectNext() > 0) {
            faults.update(now -> now.withDieAfterEffectNext(now.dieAfterEffectNext() - 1));
            refuseConnections(current.restartMillis());
            return;
        }
        if (current.answerDelayMillis() > 0) {
            vertx.setTimer(current.answerDelayMillis(), timer -> StandInServer.answer(context, HTTP_OK, answer));
            return;
        }
        StandInServer.answer(context, HTTP_OK, answer);
    }

    private synchronized JsonObject perform(RoutingContext context) {
        String method = context.request().method().name();
        String path = context.request().path();
        String request = identity(context);
        context.response().putHeader(IDENTITY_HEADER, request);
        JsonObject answer =
                new JsonObject().put("path", path).put("method", method).put(REQUEST, request);
        if (context.request().method().equals(HttpMethod.GET)) {
            return answer;
        }
        String key = orEmpty(context.request().getHeader("idempotency-key"));
        effects.add(new Effect(effects.size() + 1, method, path, key, request, System.currentTimeMillis()));
        return answer.put("effect", effects.size());
    }

    private static String identity(RoutingContext context) {
        String header = context.request().getHeader(IDENTITY_HEADER);
        if (header != null) {
            return header;
        }
        String type = orEmpty(context.request().getHeader("content-type"));
        if (!type.startsWith("application/json")) {
            return orEmpty(context.request().getParam(REQUEST));
        }
        JsonObject body = context.body().asJsonObject();
        return body == null ? "" : String.valueOf(body.getValue(REQUEST, ""));
    }

    private static String orEmpty(@Nullable String value) {
        return value == null ? "" : value;
    }
}
