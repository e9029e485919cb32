package org.redwinghook.core.engine;

/**
 * A command to an engine.
 *
 * @param kind what to change
 * @param name name of the model, version, adapter or role
 * @param fencing fencing number, the configuration offset of the desired state
 */
public record EngineCommand(EngineCommandKind kind, String name, long fencing) {}
