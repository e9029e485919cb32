package org.redwinghook.core.receive;

/**
 * Limits how many parts of a peer's messages are processed: chunks, events, frames. A limit on bytes does not limit the work
 * for parts of a few bytes. Times are milliseconds of a monotonic clock.
 */
public final class PartAllowance {

    private final int burst;
    private final int partsPerMilli;
    private long available;
    private long updatedAtMillis = Long.MIN_VALUE;

    /**
     * Creates an allowance that is full.
     *
     * @param burst number of parts that are processed at once
     * @param partsPerMilli number of parts per millisecond that are processed in the long run
     */
    public PartAllowance(int burst, int partsPerMilli) {
        this.burst = burst;
        this.partsPerMilli = partsPerMilli;
        this.available = burst;
    }

    /**
     * Records parts that have been processed.
     *
     * @param parts number of parts
     * @param nowMillis current time
     * @return time until the next ones may be processed, in milliseconds, 0 if they may be now
     */
    public long take(int parts, long nowMillis) {
        if (updatedAtMillis != Long.MIN_VALUE) {
            long elapsedMillis = Math.min(Math.max(0, nowMillis - updatedAtMillis), Integer.MAX_VALUE);
            available = Math.min(burst, available + elapsedMillis * partsPerMilli);
        }
        updatedAtMillis = nowMillis;
        available -= parts;
        return available >= 0 ? 0 : Math.max(1, -available / partsPerMilli);
    }
}
