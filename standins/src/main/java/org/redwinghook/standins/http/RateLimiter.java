package org.redwinghook.standins.http;

/** Token bucket that holds at most the permits of one second. */
public final class RateLimiter {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double permitsPerSecond;
    private double availablePermits;
    private long lastRefillNanos;

    /**
     * Creates a full bucket.
     *
     * @param permitsPerSecond permits that are added each second
     * @param nowNanos current time
     */
    public RateLimiter(double permitsPerSecond, long nowNanos) {
        this.permitsPerSecond = permitsPerSecond;
        this.availablePermits = permitsPerSecond;
        this.lastRefillNanos = nowNanos;
    }

    /**
     * Acquires one permit if one is available.
     *
     * @param nowNanos current time
     * @return whether a permit was acquired
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
