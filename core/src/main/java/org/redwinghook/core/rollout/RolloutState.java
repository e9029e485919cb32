package org.redwinghook.core.rollout;

/** State of a roll-out as written for the operators. */
public enum RolloutState {
    /** The version is on trial, or the traffic moves to it. */
    RUNNING(false),
    /** All traffic goes to the version, and nothing runs at other endpoints. */
    COMPLETE(true),
    /** The version receives no requests. */
    REVERTED(true);

    private final boolean isFinal;

    RolloutState(boolean isFinal) {
        this.isFinal = isFinal;
    }

    /**
     * Whether the state never changes again.
     *
     * @return true at the end of the roll-out
     */
    public boolean isFinal() {
        return isFinal;
    }
}
