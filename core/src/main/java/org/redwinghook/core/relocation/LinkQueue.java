package org.redwinghook.core.relocation;

import org.redwinghook.core.forward.EngineMemory;

/**
 * Copies that share the link of an engine that leaves.
 *
 * @param earlierTokens memory of the routers whose copies come first, in tokens
 * @param sameDataCentre whether the engine's data centre has another engine that can take copies
 */
public record LinkQueue(long earlierTokens, boolean sameDataCentre) {

    /** A copy between data centres takes the link for twice the time; from the platform's description. */
    private static final double BETWEEN_DATA_CENTRES_FACTOR = 2;

    /** The same for copies of which most stay in the data centre and some find no room there. */
    private static final double MOSTLY_LOCAL_FACTOR = 1.25;

    /**
     * Time that copies are expected to take the link.
     *
     * @param memory memory of the engine
     * @param tokens tokens to copy
     * @return milliseconds
     */
    double copyMillis(EngineMemory memory, long tokens) {
        return memory.copyMillis(tokens) * (sameDataCentre ? MOSTLY_LOCAL_FACTOR : BETWEEN_DATA_CENTRES_FACTOR);
    }
}
