package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;

/**
 * Result of copying a run's memory.
 *
 * @param status how it ended
 * @param handle identifier of the copy, null if there is none
 * @param events events that the run had made
 */
public record MoveResult(Status status, @Nullable String handle, long events) {

    /** How a copy ended. */
    public enum Status {
        /** The copy is complete. */
        COPIED,
        /** The engine has no such run. */
        NO_RUN,
        /** Another copy of the run is in progress. */
        IN_PROGRESS,
        /** The destination has no room or cannot be reached; the source keeps the memory. */
        NO_ROOM
    }
}
