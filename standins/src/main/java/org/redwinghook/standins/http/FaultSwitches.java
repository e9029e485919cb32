package org.redwinghook.standins.http;

import java.util.function.UnaryOperator;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * Faults of a stand-in that can be changed at run time: GET /faults returns them, and PUT /faults changes those that
 * are present in the body.
 *
 * @param <F> record with one component for each fault
 */
public final class FaultSwitches<F extends Record> {

    private final Class<F> type;
    private volatile F current;

    /**
     * Creates the switches.
     *
     * @param type class of the record
     * @param initial faults at the start
     */
    public FaultSwitches(Class<F> type, F initial) {
        this.type = type;
        this.current = initial;
    }

    /**
     * Returns the current faults.
     *
     * @return the faults
     */
    public F current() {
        return current;
    }

    /**
     * Changes faults.
     *
     * @param change function from the current faults to the new ones
     */
    public synchronized void update(UnaryOperator<F> change) {
        current = change.apply(current);
    }

    /**
     * Registers the HTTP routes for reading and changing the faults.
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
