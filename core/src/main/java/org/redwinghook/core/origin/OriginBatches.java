package org.redwinghook.core.origin;

import java.util.ArrayDeque;
import java.util.Deque;

import org.jspecify.annotations.Nullable;

/**
 * Collects the origins of a router's streams into records of the store. Each write repeats the newest record with what was
 * added since, so that a reader finds the streams of the last minute in few records, and a write without an answer needs no
 * repetition of its own. Load: all routers lose power at once while callers hold their streams. Times are milliseconds of
 * a monotonic clock. Confined to one event loop.
 */
public final class OriginBatches {

    /** Number of records that a router rewrites in turn; together they cover more than the shortest lifetime of a stream. */
    public static final int SLOTS = 16;

    /** Time after which a new record begins, in milliseconds. */
    static final long RECORD_MILLIS = 5_000;

    /** Size above which a new record begins, in bytes. */
    static final int RECORD_BYTES = 100_000;

    /** Largest size of a record in bytes, below what the store accepts. */
    static final int MAXIMUM_RECORD_BYTES = 200_000;

    /** Shortest interval between two writes of a router, in milliseconds. */
    static final long MINIMUM_INTERVAL_MILLIS = 500;

    /** Maximum number of writes of all routers together, a quarter of the calls that the store accepts. */
    static final int MAXIMUM_WRITES_PER_SECOND = 100;

    /** Upper bound of the bytes of a character in a record, and of the bytes that an origin takes beside its identifier. */
    private static final int BYTES_PER_CHARACTER = 6;

    private static final int BYTES_PER_ORIGIN = 4;
    private static final long SECOND_MILLIS = 1_000;

    private final Deque<StreamOrigin> origins = new ArrayDeque<>();
    private long number;
    private long begunAtMillis;
    private int bytes;
    private int inLastRecord;
    private boolean hasUnwritten;

    /**
     * Creates an empty collection.
     *
     * @param number number of the first record, higher than those that the router wrote before a restart
     * @param nowMillis current time
     */
    public OriginBatches(long number, long nowMillis) {
        this.number = number;
        this.begunAtMillis = nowMillis;
    }

    /**
     * Interval between two writes of a router.
     *
     * @param routers number of routers
     * @return the interval in milliseconds
     */
    public static long intervalMillis(int routers) {
        return Math.max(MINIMUM_INTERVAL_MILLIS, routers * SECOND_MILLIS / MAXIMUM_WRITES_PER_SECOND);
    }

    /**
     * Adds the origin of a stream.
     *
     * @param origin the origin
     * @return number of older origins that were dropped for it, because the store accepts no larger record
     */
    public int add(StreamOrigin origin) {
        origins.addLast(origin);
        bytes += size(origin);
        hasUnwritten = true;
        int dropped = 0;
        while (bytes > MAXIMUM_RECORD_BYTES) {
            removeFirst();
            dropped++;
        }
        return dropped;
    }

    /**
     * The record to write.
     *
     * @return the record, null if the store has all origins
     */
    public @Nullable OriginBatch next() {
        if (!hasUnwritten) {
            return null;
        }
        hasUnwritten = false;
        inLastRecord = origins.size();
        return new OriginBatch(number, origins.stream().toList());
    }

    /**
     * Whether origins were added since the last record.
     *
     * @return false if the last record has all of them
     */
    public boolean hasUnwritten() {
        return hasUnwritten;
    }

    /**
     * Records that the store has the last record.
     *
     * @param nowMillis current time
     */
    public void recordWritten(long nowMillis) {
        if (bytes <= RECORD_BYTES && nowMillis - begunAtMillis < RECORD_MILLIS) {
            return;
        }
        while (inLastRecord > 0) {
            removeFirst();
        }
        number++;
        begunAtMillis = nowMillis;
    }

    /** Records that the store may not have the last record, or may write it later: it is written again as another one. */
    public void recordFailure() {
        number++;
        hasUnwritten = true;
    }

    private void removeFirst() {
        bytes -= size(origins.removeFirst());
        inLastRecord = Math.max(0, inLastRecord - 1);
    }

    private static int size(StreamOrigin origin) {
        int characters = origin.attempt().length()
                + origin.begunAt().service().length()
                + origin.begunAt().version().length();
        return BYTES_PER_ORIGIN + BYTES_PER_CHARACTER * characters;
    }
}
