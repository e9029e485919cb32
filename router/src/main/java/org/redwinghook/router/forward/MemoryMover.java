package org.redwinghook.router.forward;

import io.vertx.core.Future;
import org.redwinghook.core.forward.EndpointEntry;

/** Moves the memory of a running generation between engines. */
public interface MemoryMover {

    /**
     * Copies the memory of a run to another engine. A repeated copy sends only what is new.
     *
     * @param source engine that runs it
     * @param requestId identifier of the run
     * @param destination engine that receives the copy
     * @param stopsRun whether the engine stops the run before the copy
     * @return the result; fails with {@link CallNotSentException} if the source cannot be reached, and with another failure
     *     if it does not respond, although it may have executed the call or may still do so
     */
    Future<MoveResult> copy(EndpointEntry source, String requestId, EndpointEntry destination, boolean stopsRun);

    /**
     * Frees an unused copy.
     *
     * @param source engine that made it
     * @param handle identifier of the copy
     * @return completes when it is freed
     */
    Future<Void> free(EndpointEntry source, String handle);
}
