package org.redwinghook.standins.http;

import java.util.function.UnaryOperator;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * Faults of a stand-in that are switched at run time: GET /faults shows them, and PUT /faults changes those that the
 * body names.
 *
 * @param <F> record with one component for each fault
 */
public final class FaultSwitches<F extends Record> {

    private final Class<F> type;
    private volatile F current;

    /**
     * Creates the switches.
     *
     * @param type type of the record
     * @param initial faults at the start
     */
    public FaultSwitches(Class<F> type, F initial) {
        this.type = type;
        this.current = initial;
    }

    /**
     * Faults in force.
     *
     * @return the faults
     */
    public F current() {
        return current;
    }

    /**
     * Changes faults.
     *
     * @param change makes the new faults from those in force
     */
    public synchronized void update(UnaryOperator<F> change) {
        current = change.apply(current);
    }

    /**
     * Adds the HTTP routes.
     *
     * @param routes routes of the stand-in
     */
    public void registerRoutes(Router routes) {
        routes.get("/faults").handler(this::sendFaults);
        routes.put("/faults").handler(context -> {
            JsonObject changes = context.body().asJsonObject();
            update(faults -> JsonObject.mapFrom(faults).mergeIn(changes).mapTo(type));
            sendFaults(context);
        });
    }

    private void sendFaults(RoutingContext context) {
        StandInServer.respond(context, 200, JsonObject.mapFrom(current));
    }
}
