package org.redwinghook.core.placement;

/**
 * How much an endpoint deviates from its own usual speed at the moment, according to the percentages that it reports.
 * Load: the percentages change many times a second, in episodes of some 600 ms, so a reading soon says nothing. Some
 * endpoints report 100 when they are as fast as usual for themselves, others when they are as fast as the others; only
 * the deviation from the median of their own readings is used, since the learned slowdown covers the rest. Times are
 * milliseconds of a monotonic clock.
 */
public final class MomentarySpeed {

    /** Time in which the weight of a reading halves: a third of an episode. */
    private static final double HALF_LIFE_MILLIS = 200;

    /** Age from which a reading has no weight, in milliseconds. */
    private static final long MAXIMUM_AGE_MILLIS = 1_000;

    /** Largest change of the median by one reading, as a logarithm. */
    private static final double MEDIAN_STEP = 0.02;

    /** Shortest time between readings that change the median, so that one episode does not change it much. */
    private static final long MEDIAN_INTERVAL_MILLIS = 100;

    private static final double USUAL_PERCENT = 100;

    private double logReading;
    private double logMedian;
    private long readAtMillis = Long.MIN_VALUE / 2;
    private long medianChangedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Records a reading.
     *
     * @param percent how long work takes now, 100 is usual
     * @param nowMillis current time
     */
    public void record(int percent, long nowMillis) {
        logReading = Math.log(percent / USUAL_PERCENT);
        readAtMillis = nowMillis;
        if (nowMillis - medianChangedAtMillis >= MEDIAN_INTERVAL_MILLIS) {
            medianChangedAtMillis = nowMillis;
            logMedian += Math.max(-MEDIAN_STEP, Math.min(MEDIAN_STEP, logReading - logMedian));
        }
    }

    /**
     * Current deviation from the endpoint's usual speed.
     *
     * @param nowMillis current time
     * @return factor of the time that work takes, 1 without a fresh reading
     */
    public double factor(long nowMillis) {
        long age = Math.max(0, nowMillis - readAtMillis);
        if (age > MAXIMUM_AGE_MILLIS) {
            return 1;
        }
        return Math.exp((logReading - logMedian) * Math.pow(0.5, age / HALF_LIFE_MILLIS));
    }
}
