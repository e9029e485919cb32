package org.redwinghook.core.engine;

/** Reasons why no command is sent to an engine. */
public enum HoldReason {
    /** A command is in progress. */
    IN_FLIGHT,
    /** The configuration was not confirmed within the heartbeat timeout. */
    STALE_CONFIGURATION,
    /** The engine's state was not read within the heartbeat timeout or since the last command. */
    STALE_ENGINE_STATE,
    /** The engine has the desired state. */
    AS_DESIRED,
    /** The engine has applied a command with a higher fencing number than the known configuration's. */
    NEWER_COMMAND_APPLIED,
    /** The back-off time after the last failed command has not passed. */
    BACK_OFF,
    /** The engine completes its running work before the load. */
    DRAINING,
    /** Other endpoints of the region load before this one. */
    WAITING_FOR_TURN
}
