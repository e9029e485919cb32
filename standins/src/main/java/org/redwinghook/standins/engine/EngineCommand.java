package org.redwinghook.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A command to an engine.
 *
 * @param kind what to change
 * @param name name of the model, adapter, version or role
 * @param fencing fencing number of the sender; it grows with each change of the desired state
 */
public record EngineCommand(
        @JsonProperty(required = true) Kind kind,
        @JsonProperty(required = true) String name,
        @JsonProperty(required = true) long fencing) {

    /** Kinds of commands. */
    public enum Kind {
        /** Load a model, which unloads the adapters of the previous one. */
        @JsonProperty("load-model")
        LOAD_MODEL,
        /** Load an adapter beside those already loaded. */
        @JsonProperty("load-adapter")
        LOAD_ADAPTER,
        /** Load a version of the model. */
        @JsonProperty("load-version")
        LOAD_VERSION,
        /** Change the role of the engine. */
        @JsonProperty("change-role")
        CHANGE_ROLE
    }
}
