package org.redwinghook.core.engine;

/** Reasons for which an engine gets no command now. */
public enum HoldReason {
    /** A command is under way. */
    IN_FLIGHT,
    /** The configuration was not confirmed within the heartbeat timeout. */
    STALE_CONFIGURATION,
    /** The engine's state was not read within the heartbeat timeout or since the last command. */
    STALE_ENGINE_STATE,
    /** The engine is as desired. */
    AS_DESIRED,
    /** The engine has applied a command with a higher fencing number than the known configuration's. */
    NEWER_COMMAND_APPLIED,
    /** The last command failed a short time ago. */
    BACK_OFF,
    /** Running work finishes before the load. */
    DRAINING,
    /** Other endpoints of the region load first. */
    WAITING_FOR_TURN
}
