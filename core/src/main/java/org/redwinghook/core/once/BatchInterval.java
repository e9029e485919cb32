package org.redwinghook.core.once;

/** Interval between the appends of a sidecar to its partitions. */
public final class BatchInterval {

    /** Minimum interval, that of a single executor with one busy partition, in milliseconds. */
    public static final long MINIMUM_MILLIS = 5;

    /** Maximum number of appends per second by all executors together; the log sustains several hundred. */
    public static final int MAXIMUM_APPENDS_PER_SECOND = 200;

    private static final long MILLIS_PER_SECOND = 1_000;

    private BatchInterval() {}

    /**
     * Interval between two appends to one partition by one executor. Each busy partition needs one append per interval.
     *
     * @param executors live executors that share the log
     * @param busyPartitions partitions of this executor that have something to append
     * @return interval in milliseconds
     */
    public static long millis(int executors, int busyPartitions) {
        long writers = (long) Math.max(1, executors) * Math.max(1, busyPartitions);
        return Math.max(MINIMUM_MILLIS, writers * MILLIS_PER_SECOND / MAXIMUM_APPENDS_PER_SECOND);
    }
}
