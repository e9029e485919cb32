package org.redwinghook.core.placement;

/**
 * Work at one endpoint, of one router or summed over several.
 *
 * @param running requests that have been sent and have not ended
 * @param waitingTokens prompt tokens of generations that have not produced a token
 * @param residentTokens memory that the generations are expected to need at their end, in tokens
 * @param heldTokens memory that generations hold now, in tokens
 */
public record WorkTotals(int running, long waitingTokens, long residentTokens, long heldTokens) {

    /** Difference of memory up to which no report is sent, in tokens: a tenth of a long generation's memory. */
    private static final long REPORTING_THRESHOLD_TOKENS = 400;

    /** No work. */
    public static final WorkTotals NONE = new WorkTotals(0, 0, 0, 0);

    /**
     * Whether other work differs enough to be reported to other routers.
     *
     * @param other the other work
     * @return false if the same requests run and their memory differs by little
     */
    public boolean differsSignificantlyFrom(WorkTotals other) {
        return running != other.running
                || waitingTokens != other.waitingTokens
                || Math.abs(residentTokens - other.residentTokens) > REPORTING_THRESHOLD_TOKENS
                || Math.abs(heldTokens - other.heldTokens) > REPORTING_THRESHOLD_TOKENS;
    }

    /**
     * Subtracts other work.
     *
     * @param other the other work, part of this
     * @return the rest
     */
    WorkTotals minus(WorkTotals other) {
        return new WorkTotals(
                running - other.running,
                waitingTokens - other.waitingTokens,
                residentTokens - other.residentTokens,
                heldTokens - other.heldTokens);
    }

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

    /**
     * The same work with at least a number of running requests.
     *
     * @param minimum the number
     * @return the work
     */
    public WorkTotals withRunningAtLeast(int minimum) {
        return minimum <= running ? this : new WorkTotals(minimum, waitingTokens, residentTokens, heldTokens);
    }

    /**
     * The same work without one request that has not produced output.
     *
     * @param query size of the request
     * @return the work
     */
    public WorkTotals withoutWaiting(PlacementQuery query) {
        return new WorkTotals(
                Math.max(0, running - 1),
                Math.max(0, waitingTokens - query.promptTokens()),
                Math.max(0, residentTokens - query.promptTokens() - query.expectedOutputTokens()),
                heldTokens);
    }
}
