package org.redwinghook.sidecar.engine;

import org.redwinghook.core.engine.EngineCommandPlanner;

/**
 * Intervals and timeouts of engine commands.
 *
 * @param intervalMillis interval of reads of the engine's state; also the longest wait for one
 * @param commandTimeoutMillis longest wait for the answer to a command
 * @param loadSlotMillis time given to the weight loads of a group of endpoints
 */
public record CommanderTimings(long intervalMillis, long commandTimeoutMillis, long loadSlotMillis) {

    /** Usual times. A load takes minutes on a slow link, so that its answer may be late. */
    public static final CommanderTimings DEFAULT =
            new CommanderTimings(1_000, 600_000, EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);
}
