package org.redwinghook.core.forward;

/**
 * Estimates how far an event loop is behind its events, from the delay of a periodic tick. Load: the backlog of a slow VM
 * after a restart, whose callers may have left by the time their requests are read. Times are milliseconds of a monotonic
 * clock.
 */
public final class LoopDelay {

    /** Interval of the tick, in milliseconds. */
    public static final long TICK_INTERVAL_MILLIS = 100;

    /** Delay from which the loop counts as late, in milliseconds: a caller may have left in this time. */
    private static final long LATE_MILLIS = 100;

    private long lastTickMillis;
    private long delayMillis;
    private long delayedTickAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an estimate for a loop that is not late.
     *
     * @param nowMillis current time
     */
    public LoopDelay(long nowMillis) {
        this.lastTickMillis = nowMillis;
    }

    /**
     * Records a tick.
     *
     * @param nowMillis current time
     */
    public void recordTick(long nowMillis) {
        long delay = sinceDueMillis(nowMillis);
        lastTickMillis = nowMillis;
        // A periodic timer makes up for the ticks that it missed, so a delay is not forgotten at the next tick.
        if (delay >= LATE_MILLIS) {
            delayMillis = delay;
            delayedTickAtMillis = nowMillis;
        }
    }

    /**
     * Time for which an event that is handled now has waited on average: events arrive at any time of a delay.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, 0 unless the loop is late
     */
    public long averageWaitMillis(long nowMillis) {
        return millis(nowMillis) / 2;
    }

    /**
     * Longest time for which an event that is handled now may have waited.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, 0 unless the loop is late
     */
    public long millis(long nowMillis) {
        boolean isRecent = nowMillis - delayedTickAtMillis <= TICK_INTERVAL_MILLIS;
        long delay = Math.max(isRecent ? delayMillis : 0, sinceDueMillis(nowMillis));
        return delay >= LATE_MILLIS ? delay : 0;
    }

    /**
     * Whether the loop is late or was so recently that events of that time may still wait.
     *
     * @param nowMillis current time
     * @return false if the ends of connections are known as they happen
     */
    public boolean isLate(long nowMillis) {
        return millis(nowMillis) > 0 || nowMillis - delayedTickAtMillis <= delayMillis;
    }

    private long sinceDueMillis(long nowMillis) {
        return Math.max(0, nowMillis - lastTickMillis - TICK_INTERVAL_MILLIS);
    }
}
