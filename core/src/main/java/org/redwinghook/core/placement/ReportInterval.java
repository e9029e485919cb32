package org.redwinghook.core.placement;

/**
 * Interval of the work reports that routers exchange while their work changes. Load: each of many routers receives the
 * reports of all others, which must not take more of its processor as their number grows.
 */
public final class ReportInterval {

    /** Shortest interval, in milliseconds; an engine prefills a prompt in several intervals. */
    private static final long SHORTEST_MILLIS = 100;

    /** Longest interval, in milliseconds; generations are reported at their start regardless of it. */
    private static final long LONGEST_MILLIS = 400;

    /** Time per receiver, in milliseconds, for at most 100 sent messages a second. */
    private static final long MILLIS_PER_RECEIVER = 10;

    private ReportInterval() {}

    /**
     * Interval for a number of receivers.
     *
     * @param receivers number of routers that receive each report
     * @return the interval, in milliseconds
     */
    public static long millis(int receivers) {
        return Math.max(SHORTEST_MILLIS, Math.min(LONGEST_MILLIS, receivers * MILLIS_PER_RECEIVER));
    }
}
