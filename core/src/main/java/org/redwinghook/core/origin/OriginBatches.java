package org.redwinghook.core.origin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

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

    /** Bytes of an identifier's quotation marks and separator. */
    private static final int BYTES_PER_ORIGIN = 3;

    /** Bytes of the names of the fields and the separators of a group of origins with the same service and version. */
    private static final int BYTES_PER_GROUP = 50;

    /** Bytes of a control character, which is escaped, of a character outside ASCII at most, and of an escaped one. */
    private static final int BYTES_OF_CONTROL = 6;

    private static final int BYTES_BEYOND_ASCII = 3;
    private static final int BYTES_OF_ESCAPE = 2;
    private static final char LAST_ASCII = 127;
    private static final long SECOND_MILLIS = 1_000;

    private final Deque<StreamOrigin> origins = new ArrayDeque<>();
    private final Map<ServiceVersion, Integer> groupSizes = new HashMap<>();
    private long number;
    private long begunAtMillis;
    private int bytes;
    private int inLastRecord;
    private boolean hasUnwritten;
    private boolean hasFailed;

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
        if (groupSizes.merge(origin.begunAt(), 1, Integer::sum) == 1) {
            bytes += size(origin.begunAt());
        }
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
        // A failed write that is executed late replaces the record, until another one has its origins, too.
        hasUnwritten |= hasFailed;
        if (bytes <= RECORD_BYTES && nowMillis - begunAtMillis < RECORD_MILLIS) {
            return;
        }
        while (inLastRecord > 0 && !hasFailed) {
            removeFirst();
        }
        hasFailed = false;
        number++;
        begunAtMillis = nowMillis;
    }

    /** Records that the store may not have the last record, or may write it later: it is repeated, and again in the next one. */
    public void recordFailure() {
        hasFailed = true;
        hasUnwritten = true;
    }

    private void removeFirst() {
        StreamOrigin removed = origins.removeFirst();
        bytes -= size(removed);
        if (groupSizes.merge(removed.begunAt(), -1, Integer::sum) == 0) {
            groupSizes.remove(removed.begunAt());
            bytes -= size(removed.begunAt());
        }
        inLastRecord = Math.max(0, inLastRecord - 1);
    }

    private static int size(StreamOrigin origin) {
        return BYTES_PER_ORIGIN + size(origin.attempt());
    }

    private static int size(ServiceVersion group) {
        return BYTES_PER_GROUP + size(group.service()) + size(group.version());
    }

    /** Size of a JSON string in UTF-8. */
    private static int size(String text) {
        int size = 0;
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if (character < ' ') {
                size += BYTES_OF_CONTROL;
            } else if (character == '"' || character == '\\') {
                size += BYTES_OF_ESCAPE;
            } else {
                size += character <= LAST_ASCII ? 1 : BYTES_BEYOND_ASCII;
            }
        }
        return size;
    }
}
