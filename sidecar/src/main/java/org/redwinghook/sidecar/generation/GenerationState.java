package org.redwinghook.sidecar.generation;

/** Stage of a generation. */
public enum GenerationState {
    /** Tokens may still come. */
    RUNNING,
    /** Whole. */
    FINISHED,
    /** Ended early; no more tokens come. */
    INTERRUPTED;

    /**
     * Whether the generation has ended.
     *
     * @return true if no more tokens come
     */
    public boolean hasEnded() {
        return this != RUNNING;
    }
}
