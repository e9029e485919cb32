package org.redwinghook.core.engine;

/** Kinds of commands to an engine. */
public enum EngineCommandKind {
    /** Load a model, which drops the version and the adapters of the previous one. */
    LOAD_MODEL("load-model", true),
    /** Load a version of the model. */
    LOAD_VERSION("load-version", true),
    /** Load an adapter in addition to those already loaded. */
    LOAD_ADAPTER("load-adapter", true),
    /** Change the role. */
    CHANGE_ROLE("change-role", false);

    private final String wireName;
    private final boolean weightLoad;

    EngineCommandKind(String wireName, boolean weightLoad) {
        this.wireName = wireName;
        this.weightLoad = weightLoad;
    }

    /**
     * Name of the kind in the engine's protocol.
     *
     * @return the name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Whether the engine reads from the weight store to apply a command of this kind.
     *
     * @return true for loads
     */
    public boolean isWeightLoad() {
        return weightLoad;
    }
}
