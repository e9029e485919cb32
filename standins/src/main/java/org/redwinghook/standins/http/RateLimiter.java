package org.redwinghook.standins.http;

/** Token bucket that holds at most one second's worth of units. */
public final class RateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double permitsPerSecond;
    private double availablePermits;
    private long lastRefillNanos;

    /**
     * Creates a full bucket.
     *
     * @param permitsPerSecond units that are added each second
     * @param nowNanos present time
     */
    public RateLimiter(double unitsPerSecond, long nowNanos) {
        this.permitsPerSecond = unitsPerSecond;
        this.availablePermits = unitsPerSecond;
        this.lastRefillNanos = nowNanos;
    }

    /**
     * Takes one unit.
     *
     * @param nowNanos present time
     * @return whether there was one
     */
    public boolean tryAcquire(long nowNanos) {
        double addedPermits = (nowNanos - lastRefillNanos) / NANOS_PER_SECOND * permitsPerSecond;
        availablePermits = Math.min(permitsPerSecond, availablePermits + addedPermits);
        lastRefillNanos = nowNanos;
        if (availablePermits < 1) {
            return false;
        }
        availablePermits--;
        return true;
    }
}
