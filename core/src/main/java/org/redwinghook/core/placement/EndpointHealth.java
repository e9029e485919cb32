package org.redwinghook.core.placement;

/**
 * Health of one endpoint according to the results of forwarded requests. It detects endpoints that fail some of their
 * requests although their health check passes, and endpoints that cannot be reached. Times are milliseconds of a
 * monotonic clock.
 */
public final class EndpointHealth {

    /** Weight of the newest result in the failure share: about the last five results count. */
    private static final double NEWEST_RESULT_WEIGHT = 0.2;

    /** Time in which a failure share without new results halves, so that the endpoint is tried again. */
    private static final double HALF_LIFE_MILLIS = 4_000;

    /** Initial time for which an unreachable endpoint is avoided; doubles with each failure. */
    private static final long INITIAL_AVOIDANCE_MILLIS = 500;

    /** Maximum time for which an unreachable endpoint is avoided. */
    private static final long MAXIMUM_AVOIDANCE_MILLIS = 4_000;

    private double failureShare;
    private long updatedAtMillis;
    private int unreachableCount;
    private long avoidUntilMillis = Long.MIN_VALUE;

    /**
     * Records a request that the endpoint answered.
     *
     * @param nowMillis current time
     */
    public void recordSuccess(long nowMillis) {
        unreachableCount = 0;
        avoidUntilMillis = Long.MIN_VALUE;
        update(0, nowMillis);
    }

    /**
     * Records a request that failed at the endpoint.
     *
     * @param nowMillis current time
     */
    public void recordFailure(long nowMillis) {
        update(1, nowMillis);
    }

    /**
     * Records that a connection to the endpoint could not be opened or was broken by the endpoint.
     *
     * @param nowMillis current time
     */
    public void recordUnreachable(long nowMillis) {
        update(1, nowMillis);
        long avoidanceMillis = INITIAL_AVOIDANCE_MILLIS << Math.min(unreachableCount, 3);
        avoidUntilMillis = nowMillis + Math.min(avoidanceMillis, MAXIMUM_AVOIDANCE_MILLIS);
        unreachableCount++;
    }

    /**
     * Whether requests should be sent to other endpoints if there are any.
     *
     * @param nowMillis current time
     * @return true for some time after the endpoint was unreachable
     */
    public boolean shouldAvoid(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /**
     * Recent share of failed requests.
     *
     * @param nowMillis current time
     * @return 0 to 1
     */
    public double failureShare(long nowMillis) {
        double age = Math.max(0, nowMillis - updatedAtMillis);
        return failureShare * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }

    private void update(double result, long nowMillis) {
        failureShare = failureShare(nowMillis) * (1 - NEWEST_RESULT_WEIGHT) + result * NEWEST_RESULT_WEIGHT;
        updatedAtMillis = nowMillis;
    }
}
