package org.redwinghook.core.placement;

/**
 * An endpoint that may take a request.
 *
 * @param id identifier of the endpoint
 * @param slots requests that it runs at once
 * @param memoryTokens tokens that its memory holds; 0 for plain services
 * @param work work of all routers at the endpoint
 * @param reportedWaitingRequests requests that the endpoint last said were waiting there
 * @param distance how far it is
 * @param failureShare recent share of requests that failed there, 0 to 1
 * @param cold whether it has just started
 * @param jitterMillis random delay below {@link #MAXIMUM_JITTER_MILLIS}, so that routers that know the same do not all
 *     choose the same endpoint
 */
public record Candidate(
        String id,
        int slots,
        long memoryTokens,
        WorkTotals work,
        int reportedWaitingRequests,
        Distance distance,
        double failureShare,
        boolean cold,
        double jitterMillis) {

    /** Largest random delay, in milliseconds: less than a prompt's reading, more than a running generation's share. */
    public static final double MAXIMUM_JITTER_MILLIS = 30;
}
