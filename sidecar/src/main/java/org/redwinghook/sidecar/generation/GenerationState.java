package org.redwinghook.sidecar.generation;

/** State of a generation. */
public enum GenerationState {
    /** The engine may generate more tokens. */
    RUNNING,
    /** The engine has finished the generation. */
    FINISHED,
    /** The generation ended before the engine finished it. */
    INTERRUPTED;

    /**
     * Whether the generation has ended.
     *
     * @return true if no more tokens are generated
     */
    public boolean hasEnded() {
        return this != RUNNING;
    }
}
