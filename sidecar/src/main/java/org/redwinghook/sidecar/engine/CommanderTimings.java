package org.redwinghook.sidecar.engine;

import org.redwinghook.core.engine.EngineCommandPlanner;

/**
 * Intervals and timeouts of engine commands.
 *
 * @param intervalMillis interval between reads of the engine's state; also the timeout of a read
 * @param commandTimeoutMillis timeout of a command
 * @param loadSlotMillis time reserved for the weight loads of one group of endpoints
 */
public record CommanderTimings(long intervalMillis, long commandTimeoutMillis, long loadSlotMillis) {

    /** Default timings. A weight load takes minutes on a slow link, hence the long command timeout. */
    public static final CommanderTimings DEFAULT =
            new CommanderTimings(1_000, 600_000, EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);
}
