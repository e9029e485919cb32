package org.redwinghook.core.relocation;

/**
 * What is known about the calls that ask an engine to stop a run. A call without an answer may have been executed, and may
 * still be: the end of the run's stream then does not show that the run is complete.
 */
public enum StopState {

    /** The run has not been stopped by a call. */
    RUNNING(false, false),

    /** A call has not ended. */
    REQUESTED(true, false),

    /** A call failed, and the engine may have received it. */
    UNCONFIRMED(false, true),

    /** A call has not ended, and an earlier one may have been executed. */
    REQUESTED_AGAIN(true, true);

    private final boolean isRequestPending;
    private final boolean mayHaveBeenExecuted;

    StopState(boolean isRequestPending, boolean mayHaveBeenExecuted) {
        this.isRequestPending = isRequestPending;
        this.mayHaveBeenExecuted = mayHaveBeenExecuted;
    }

    /**
     * Whether a call has not ended.
     *
     * @return true if its result will decide how the run goes on
     */
    public boolean isRequestPending() {
        return isRequestPending;
    }

    /**
     * Whether the engine may have stopped the run.
     *
     * @return true if the end of the stream may be that of a stopped run
     */
    public boolean mayBeStopped() {
        return isRequestPending || mayHaveBeenExecuted;
    }

    /**
     * State after the engine is asked to stop the run.
     *
     * @return the next state
     */
    public StopState afterRequest() {
        return mayHaveBeenExecuted ? REQUESTED_AGAIN : REQUESTED;
    }

    /**
     * State after the engine answered that the call did not stop the run, or never received it.
     *
     * @return the next state; the doubt about an earlier call remains
     */
    public StopState afterRejection() {
        return mayHaveBeenExecuted ? UNCONFIRMED : RUNNING;
    }

    /**
     * State after a call ended without an answer that tells whether it was executed.
     *
     * @return the next state
     */
    public StopState afterUnknownResult() {
        return UNCONFIRMED;
    }
}
