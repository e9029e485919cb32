package org.redwinghook.core.replica;

/**
 * Limits the bytes with which one router repairs the replicas of others. Load: all routers of a region lag because the link
 * to it is congested. Without a limit, the repairs of ever more routers kept the link congested for the rest of a day.
 * Times are milliseconds of a monotonic clock.
 */
public final class RepairBudget {

    /** Bytes per millisecond: 30 routers together use a third of a link of 42 Mbit/s. */
    private static final double BYTES_PER_MILLI = 64;

    private final long maximumBurstBytes;
    private double availableBytes;
    private long updatedAtMillis = Long.MIN_VALUE;

    /**
     * Creates a budget that is available whole.
     *
     * @param maximumBurstBytes bytes that may be sent at once
     */
    public RepairBudget(long maximumBurstBytes) {
        this.maximumBurstBytes = maximumBurstBytes;
        this.availableBytes = maximumBurstBytes;
    }

    /**
     * Takes the bytes of a repair. A repair that is larger than the burst is allowed when nothing else was sent for a while.
     *
     * @param bytes size of the repair
     * @param nowMillis current time
     * @return false if the repair must not be sent now
     */
    public boolean tryTake(long bytes, long nowMillis) {
        if (updatedAtMillis != Long.MIN_VALUE) {
            availableBytes =
                    Math.min(maximumBurstBytes, availableBytes + (nowMillis - updatedAtMillis) * BYTES_PER_MILLI);
        }
        updatedAtMillis = nowMillis;
        if (availableBytes < Math.min(bytes, maximumBurstBytes)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }
}
