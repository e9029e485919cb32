package org.redwinghook.core.placement;

/**
 * Health of one endpoint, judged by the results of real requests. Answers endpoints that fail a part of their requests
 * while their health check passes, and endpoints that cannot be reached. Times are milliseconds of a monotonic clock.
 */
public final class EndpointHealth {

    /** Weight of the newest result in the failure share: about the last five results count. */
    private static final double NEWEST_RESULT_WEIGHT = 0.2;

    /** Time in which a failure share without new results halves, so that the endpoint is tried again. */
    private static final double HALF_LIFE_MILLIS = 4_000;

    /** First time for which an unreachable endpoint is avoided; it doubles with each failure. */
    private static final long INITIAL_AVOIDANCE_MILLIS = 500;

    /** Longest time for which an unreachable endpoint is avoided. */
    private static final long MAXIMUM_AVOIDANCE_MILLIS = 4_000;

    private double failureShare;
    private long updatedAtMillis;
    private int recordUnreachable;
    private long avoidUntilMillis = Long.MIN_VALUE;

    /**
     * Notes a request that the endpoint answered.
     *
     * @param nowMillis time now
     */
    public void recordSuccess(long nowMillis) {
        recordUnreachable = 0;
        avoidUntilMillis = Long.MIN_VALUE;
        update(0, nowMillis);
    }

    /**
     * Notes a request that failed at the endpoint.
     *
     * @param nowMillis time now
     */
    public void recordFailure(long nowMillis) {
        update(1, nowMillis);
    }

    /**
     * Notes that the endpoint could not be connected to, or that it broke a connection off.
     *
     * @param nowMillis time now
     */
    public void recordUnreachable(long nowMillis) {
        update(1, nowMillis);
        long avoid = INITIAL_AVOIDANCE_MILLIS << Math.min(recordUnreachable, 3);
        avoidUntilMillis = nowMillis + Math.min(avoid, MAXIMUM_AVOIDANCE_MILLIS);
        recordUnreachable++;
    }

    /**
     * Whether requests should go elsewhere if they can.
     *
     * @param nowMillis time now
     * @return true for some time after the endpoint was unreachable
     */
    public boolean shouldAvoid(long nowMillis) {
        return nowMillis < avoidUntilMillis;
    }

    /**
     * Recent share of failed requests.
     *
     * @param nowMillis time now
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
