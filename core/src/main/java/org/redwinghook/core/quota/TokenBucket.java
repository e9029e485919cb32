package org.redwinghook.core.quota;

/** A token bucket that refills at a constant rate. Its level is negative while it is in debt. */
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
     * Refills the bucket up to the current time.
     *
     * @param nowMillis current time
     * @param ratePerSecond refill rate
     * @param capacity maximum level
     */
    public void refill(long nowMillis, double ratePerSecond, double capacity) {
        long elapsed = Math.max(0, nowMillis - refilledAtMillis);
        refilledAtMillis = Math.max(refilledAtMillis, nowMillis);
        level = Math.min(capacity, level + ratePerSecond * elapsed / MILLIS_PER_SECOND);
    }

    /**
     * Consumes an amount, going into debt if necessary; a negative amount is returned to the bucket.
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
     * @param targetLevel the level
     * @param ratePerSecond refill rate
     * @return the time in milliseconds, 0 if it is reached
     */
    public long millisUntil(double targetLevel, double ratePerSecond) {
        if (level >= targetLevel) {
            return 0;
        }
        return ratePerSecond <= 0
                ? Long.MAX_VALUE
                : (long) Math.ceil((targetLevel - level) * MILLIS_PER_SECOND / ratePerSecond);
    }
}
