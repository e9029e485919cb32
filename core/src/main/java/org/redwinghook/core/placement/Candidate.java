package org.redwinghook.core.placement;

/**
 * An endpoint that may take a request.
 *
 * @param id identifier of the endpoint
 * @param slots requests that it runs at once
 * @param memoryTokens tokens that its memory holds; 0 for plain services
 * @param work work of all routers at the endpoint
 * @param reportedWaiting requests that the endpoint last said were waiting there
 * @param distance how far it is
 * @param failureShare recent share of requests that failed there, 0 to 1
 * @param cold whether it has just started
 * @param spreadMillis random delay below {@link #MOST_SPREAD_MILLIS}, so that routers that know the same do not all
 *     choose the same endpoint
 */
public record Candidate(
        String id,
        int slots,
        long memoryTokens,
        WorkTotals work,
        int reportedWaiting,
        Distance distance,
        double failureShare,
        boolean cold,
        double spreadMillis) {

    /** Largest random delay, in milliseconds: less than a prompt's reading, more than a running generation's share. */
    public static final double MOST_SPREAD_MILLIS = 30;
}
