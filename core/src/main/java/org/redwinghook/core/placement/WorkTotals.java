package org.redwinghook.core.placement;

/**
 * Work of one router at one endpoint.
 *
 * @param running requests sent and not ended
 * @param waitingTokens prompt tokens of generations that have not produced a token
 * @param residentTokens memory that the generations are expected to need at their end, in tokens
 * @param heldTokens memory that generations hold now, in tokens
 */
public record WorkTotals(int running, long waitingTokens, long residentTokens, long heldTokens) {

    /** No work. */
    public static final WorkTotals NONE = new WorkTotals(0, 0, 0, 0);

    /**
     * Adds other work.
     *
     * @param other the other work
     * @return the sum
     */
    public WorkTotals plus(WorkTotals other) {
        return new WorkTotals(
                running + other.running,
                waitingTokens + other.waitingTokens,
                residentTokens + other.residentTokens,
                heldTokens + other.heldTokens);
    }
}
