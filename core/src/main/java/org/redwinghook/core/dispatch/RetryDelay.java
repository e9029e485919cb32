package org.redwinghook.core.dispatch;

import org.redwinghook.core.routing.RendezvousHash;

/**
 * Time after which the caller of a refused request should try again. Load: a burst of refusals, whose callers would all
 * come back at the same time if they were told the same.
 */
public final class RetryDelay {

    /** Time assumed until an endpoint is listed if there is none, in milliseconds. */
    public static final double NO_ENDPOINT_MILLIS = 500;

    /** Shortest delay, in milliseconds: a few calls of a plain service, since its endpoints were found to be full. */
    private static final double SHORTEST_MILLIS = 150;

    /** Callers honour a delay up to the part 1/n of the time that they have left. */
    private static final double MAXIMUM_PART_DIVISOR = 3;

    /** Number of priorities that come back one after the other. */
    private static final int PRIORITIES = 4;

    /** Share of the maximum delay over which callers are spread if capacity is expected later. */
    private static final double SPREAD_SHARE = 0.5;

    private static final double HASH_RANGE = 1L << 53;
    private static final int UNUSED_HASH_BITS = 11;

    private RetryDelay() {}

    /**
     * Determines the delay: more urgent and older requests come back first.
     *
     * @param request the refused request
     * @param capacityMillis expected time until an endpoint has capacity, in milliseconds
     * @param nowMillis current monotonic time
     * @return the delay in milliseconds, at most a third of the time that the caller has left; 0 if it has none
     */
    public static long millis(DispatchRequest request, double capacityMillis, long nowMillis) {
        double remainingMillis = request.deadlineMillis() - nowMillis;
        if (remainingMillis <= 0) {
            return 0;
        }
        double spread = spread(request, nowMillis);
        double soonestMillis = Math.max(SHORTEST_MILLIS, request.idleEstimate().firstResultMillis());
        double delayMillis = Math.max(soonestMillis, capacityMillis) * (1 + spread);
        double longestMillis = remainingMillis / MAXIMUM_PART_DIVISOR * (1 - SPREAD_SHARE * (1 - spread));
        return (long) Math.min(delayMillis, longestMillis);
    }

    /** Position of the request among those that are refused, from 0 inclusive to 1 exclusive. */
    private static double spread(DispatchRequest request, long nowMillis) {
        double ageMillis = Math.max(0, nowMillis - request.arrivedAtMillis());
        double youth = 1 - ageMillis / Math.max(1, request.deadlineMillis() - request.arrivedAtMillis());
        double hash = (RendezvousHash.hash(request.id()) >>> UNUSED_HASH_BITS) / HASH_RANGE;
        int priority = Math.max(0, Math.min(request.customerPriority(), PRIORITIES - 1));
        return (priority + (youth + hash) / 2) / PRIORITIES;
    }
}
