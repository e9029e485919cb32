package org.redwinghook.core.replica;

/**
 * Pace at which a router asks the store whether its lists are complete. Load: a data centre's routers end, and all others are
 * sent the streams that broke.
 */
public final class ConfirmationPace {

    /** Reads of all routers together, in reads per second. */
    private static final double READS_PER_SECOND = 1_000;

    /** Pause after a failed confirmation, in milliseconds. */
    private static final long FAILURE_PAUSE_MILLIS = 100;

    private static final double MILLIS_PER_SECOND = 1_000;

    private ConfirmationPace() {}

    /**
     * Shortest time from the start of a confirmation to the start of the next one.
     *
     * @param topics number of topics that are read for one
     * @param routers number of routers
     * @param hasFailed whether it failed
     * @return the time in milliseconds
     */
    public static long intervalMillis(int topics, int routers, boolean hasFailed) {
        long fairMillis = (long) Math.ceil(topics * routers * MILLIS_PER_SECOND / READS_PER_SECOND);
        return hasFailed ? Math.max(FAILURE_PAUSE_MILLIS, fairMillis) : fairMillis;
    }
}
