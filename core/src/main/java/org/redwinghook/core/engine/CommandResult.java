package org.redwinghook.core.engine;

/** How a command to an engine ended. */
public enum CommandResult {
    /** The engine confirmed it. */
    APPLIED,
    /** The engine refused its fencing number as too low. */
    REFUSED,
    /** It failed or its answer was lost, so that it may still take effect. */
    FAILED
}
