package org.redwinghook.core.replica;

/**
 * Whether the records that a router reads from the store are current. Load: before and after a fault the store answers
 * with records that are seconds old, without an error, so trust returns only some time after the last fault. Times are
 * milliseconds of a monotonic clock. Confined to one event loop.
 */
public final class StoreTrust {

    /** Time from a fault until reads are trusted again, in milliseconds; reads without an error are up to 3 s old. */
    public static final long DISTRUST_MILLIS = 4_000;

    /** Time that a read may take beyond its requested wait, in milliseconds; usual reads take a few milliseconds. */
    private static final long SLOW_READ_MILLIS = 500;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long readDueMillis = Long.MAX_VALUE;
    private long lastFaultMillis = NEVER;
    private long failingSinceMillis = NEVER;
    private boolean isFailing;
    private long faults;

    /**
     * Records that a read begins.
     *
     * @param waitMillis time for which the store may hold the read, in milliseconds
     * @param nowMillis current time
     */
    public void recordReadStart(long waitMillis, long nowMillis) {
        readDueMillis = nowMillis + waitMillis + SLOW_READ_MILLIS;
    }

    /**
     * Records a read that succeeded.
     *
     * @param nowMillis current time
     */
    public void recordSuccess(long nowMillis) {
        if (nowMillis > readDueMillis) {
            recordFault(nowMillis);
        }
        readDueMillis = Long.MAX_VALUE;
        isFailing = false;
    }

    /**
     * Records a read that failed.
     *
     * @param nowMillis current time
     */
    public void recordFailure(long nowMillis) {
        if (!isFailing) {
            isFailing = true;
            failingSinceMillis = nowMillis;
            faults++;
        }
        lastFaultMillis = nowMillis;
        readDueMillis = Long.MAX_VALUE;
    }

    /**
     * Records that the store no longer has the records after those that were read.
     *
     * @param nowMillis current time
     */
    public void recordExpiry(long nowMillis) {
        recordFault(nowMillis);
        readDueMillis = Long.MAX_VALUE;
    }

    private void recordFault(long nowMillis) {
        lastFaultMillis = nowMillis;
        faults++;
    }

    /**
     * Whether this router's reads are current.
     *
     * @param hasOtherReader whether a connected router reads the store; its records then replace those of failing reads
     * @param nowMillis current time
     * @return false from a fault, or from a read that takes too long, until some time after it
     */
    public boolean isTrusted(boolean hasOtherReader, long nowMillis) {
        if (nowMillis > readDueMillis) {
            return false;
        }
        if (isFailing && hasOtherReader) {
            return nowMillis - failingSinceMillis >= DISTRUST_MILLIS;
        }
        return !isFailing && nowMillis - lastFaultMillis >= DISTRUST_MILLIS;
    }

    /**
     * Number of faults of which other routers have to be told. Failures in a row count once, since other routers read
     * the store in place of one that cannot.
     *
     * @param nowMillis current time
     * @return the number, with a read that takes too long
     */
    public long faults(long nowMillis) {
        return nowMillis > readDueMillis ? faults + 1 : faults;
    }
}
