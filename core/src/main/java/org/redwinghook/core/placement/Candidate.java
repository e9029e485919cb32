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
 */
public record Candidate(
        String id,
        int slots,
        long memoryTokens,
        WorkTotals work,
        int reportedWaiting,
        Distance distance,
        double failureShare,
        boolean cold) {}
