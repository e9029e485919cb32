package org.redwinghook.standins.engine;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.redwinghook.standins.http.StandInServer;

/** Applies commands, each after a delay, and holds the resulting state. */
final class EngineCommands {

    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;

    private final Vertx vertx;
    private final long commandMillis;
    private final boolean checksFencing;
    private EngineState state = EngineState.INITIAL;
    /** Counts the resets, so that commands received before a reset are discarded. */
    private int resetCount;

    EngineCommands(Vertx vertx, long commandMillis, boolean checksFencing) {
        this.vertx = vertx;
        this.commandMillis = commandMillis;
        this.checksFencing = checksFencing;
    }

    synchronized EngineState state() {
        return state;
    }

    /** Discards the state and the commands in progress, as a restart does. */
    synchronized void reset() {
        state = EngineState.INITIAL;
        resetCount++;
    }

    synchronized void handle(RoutingContext context) {
        EngineCommand command = context.body().asJsonObject().mapTo(EngineCommand.class);
        if (refuseIfOutdated(context, command)) {
            return;
        }
        int initialResetCount = resetCount;
        vertx.setTimer(Math.max(1, commandMillis), timer -> apply(context, command, initialResetCount));
    }

    private synchronized void apply(RoutingContext context, EngineCommand command, int initialResetCount) {
        // A newer command may have been applied, or the engine may have crashed, since this one was received.
        if (resetCount != initialResetCount || refuseIfOutdated(context, command)) {
            return;
        }
        state = state.apply(command);
        StandInServer.respond(context, HTTP_OK, JsonObject.mapFrom(state));
    }

    /** Refuses a command whose fencing number is older than that of the state, and returns whether it did. */
    private boolean refuseIfOutdated(RoutingContext context, EngineCommand command) {
        if (!checksFencing || command.fencing() >= state.fencing()) {
            return false;
        }
        StandInServer.respondWithError(context, HTTP_CONFLICT, "fencing number is older than " + state.fencing());
        return true;
    }
}
