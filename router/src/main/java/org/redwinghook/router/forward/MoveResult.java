package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;

/**
 * Result of copying a run's memory.
 *
 * @param status outcome of the copy
 * @param handle identifier of the copy, null if there is none
 * @param events number of events that the run had produced
 */
public record MoveResult(Status status, @Nullable String handle, long events) {

    /**
     * Whether a call that was to stop the run certainly did not.
     *
     * @return false if the run is stopped or may be
     */
    boolean isStopRejected() {
        return handle == null && (status == Status.NO_RUN || status == Status.IN_PROGRESS);
    }

    /** Outcome of a copy. */
    public enum Status {
        /** The copy is complete. */
        COPIED,
        /** The engine has no such run. */
        NO_RUN,
        /** Another copy of the run is in progress. */
        IN_PROGRESS,
        /** The destination has no room or cannot be reached; the source keeps the memory. */
        NO_ROOM,
        /** The answer does not tell what the engine did. */
        UNKNOWN
    }
}
