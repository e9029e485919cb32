package org.redwinghook.core.origin;

/**
 * Times at which a router reads the origins of streams in the store. Load: all routers start at once, or the store answers
 * again after an outage that all of them have seen.
 */
public final class OriginReadDelay {

    /** Longest pause after the first failure, in milliseconds. */
    private static final long FIRST_PAUSE_MILLIS = 500;

    /** Doublings of the pause; the longest one is 2 s, since resumed streams wait for the store for 1 s. */
    private static final int MAXIMUM_DOUBLINGS = 2;

    /** Interval between the first reads of two routers on average, in milliseconds. */
    private static final long FIRST_READ_INTERVAL_MILLIS = 10;

    /** Longest delay of the first read, in milliseconds: half of the time for which resumed streams wait for the store. */
    private static final long MAXIMUM_FIRST_MILLIS = 500;

    private OriginReadDelay() {}

    /**
     * Delay of the first read.
     *
     * @param routers number of routers
     * @param random random number from 0 inclusive to 1 exclusive
     * @return the delay in milliseconds, which spreads the reads of all routers
     */
    public static long firstMillis(int routers, double random) {
        return (long) (Math.min(MAXIMUM_FIRST_MILLIS, routers * FIRST_READ_INTERVAL_MILLIS) * random);
    }

    /**
     * Pause after failed reads.
     *
     * @param failures number of failed reads, from 1
     * @param random random number from 0 inclusive to 1 exclusive
     * @return the pause in milliseconds, from half of the longest pause to all of it
     */
    public static long afterFailuresMillis(int failures, double random) {
        long longest = FIRST_PAUSE_MILLIS << Math.min(failures - 1, MAXIMUM_DOUBLINGS);
        return (long) (longest * (1 + random) / 2);
    }
}
