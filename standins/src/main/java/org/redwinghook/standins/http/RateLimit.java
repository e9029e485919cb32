package org.redwinghook.standins.http;

/** Token bucket that holds at most one second's worth of units. */
public final class RateLimit {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double unitsPerSecond;
    private double available;
    private long refilledNanos;

    /**
     * Creates a full bucket.
     *
     * @param unitsPerSecond units that are added each second
     * @param nowNanos present time
     */
    public RateLimit(double unitsPerSecond, long nowNanos) {
        this.unitsPerSecond = unitsPerSecond;
        this.available = unitsPerSecond;
        this.refilledNanos = nowNanos;
    }

    /**
     * Takes one unit.
     *
     * @param nowNanos present time
     * @return whether there was one
     */
    public boolean take(long nowNanos) {
        double added = (nowNanos - refilledNanos) / NANOS_PER_SECOND * unitsPerSecond;
        available = Math.min(unitsPerSecond, available + added);
        refilledNanos = nowNanos;
        if (available < 1) {
            return false;
        }
        available--;
        return true;
    }
}
