package org.redwinghook.core.placement;

/**
 * An endpoint that may take a request.
 *
 * @param id identifier of the endpoint
 * @param slots number of requests that it can run concurrently
 * @param memoryTokens capacity of its memory in tokens; 0 for plain services
 * @param work work of all routers at the endpoint
 * @param reportedWaitingRequests number of waiting requests that the endpoint last reported
 * @param distance network distance of the endpoint
 * @param failureShare recent share of requests that failed there, 0 to 1
 * @param slowdown how long work takes there, relative to a usual endpoint of its service: 1 is usual, 2 takes twice as
 *     long
 * @param cold whether it is cold after its start
 * @param jitterMillis random delay below {@link #MAXIMUM_JITTER_MILLIS}, so that routers with the same information do
 *     not all choose the same endpoint
 */
public record Candidate(
        String id,
        int slots,
        long memoryTokens,
        WorkTotals work,
        int reportedWaitingRequests,
        Distance distance,
        double failureShare,
        double slowdown,
        boolean cold,
        double jitterMillis) {

    /**
     * Maximum random delay, in milliseconds: less than the prefill of a prompt, more than the delay that one running
     * generation adds.
     */
    public static final double MAXIMUM_JITTER_MILLIS = 30;

    /** Slowdown of an endpoint of which nothing else is known. */
    public static final double USUAL_SLOWDOWN = 1;

    /**
     * The same endpoint with other work.
     *
     * @param other the work
     * @return the candidate
     */
    public Candidate withWork(WorkTotals other) {
        return new Candidate(
                id,
                slots,
                memoryTokens,
                other,
                reportedWaitingRequests,
                distance,
                failureShare,
                slowdown,
                cold,
                jitterMillis);
    }

    /**
     * The same endpoint with another speed.
     *
     * @param other the slowdown
     * @return the candidate
     */
    public Candidate withSlowdown(double other) {
        return new Candidate(
                id,
                slots,
                memoryTokens,
                work,
                reportedWaitingRequests,
                distance,
                failureShare,
                other,
                cold,
                jitterMillis);
    }
}
