package org.redwinghook.core.quota;

/** A bucket that fills at a constant rate. Its level is negative while it is in debt. */
public final class TokenBucket {

    private static final double MILLIS_PER_SECOND = 1_000;

    private double level;
    private long refilledAtMillis;

    /**
     * Creates a bucket.
     *
     * @param level level at the start
     * @param nowMillis time of the start
     */
    public TokenBucket(double level, long nowMillis) {
        this.level = level;
        this.refilledAtMillis = nowMillis;
    }

    /**
     * Fills the bucket up to now.
     *
     * @param nowMillis the time
     * @param perSecond rate
     * @param capacity highest level
     */
    public void refill(long nowMillis, double perSecond, double capacity) {
        long elapsed = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
        level = Math.min(capacity, level + perSecond * elapsed / MILLIS_PER_SECOND);
    }

    /**
     * Takes an amount, into debt if need be; a negative amount is given back.
     *
     * @param amount the amount
     */
    public void consume(double amount) {
        level -= amount;
    }

    /**
     * The level after the last change.
     *
     * @return the level
     */
    public double level() {
        return level;
    }

    /**
     * Time until a level is reached.
     *
     * @param wanted the level
     * @param perSecond rate
     * @return the time in milliseconds, 0 if it is reached
     */
    public long millisUntil(double wanted, double perSecond) {
        if (level >= wanted) {
            return 0;
        }
        return perSecond <= 0 ? Long.MAX_VALUE : (long) Math.ceil((wanted - level) * MILLIS_PER_SECOND / perSecond);
    }
}
