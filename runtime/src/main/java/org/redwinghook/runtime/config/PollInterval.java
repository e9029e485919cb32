package org.redwinghook.runtime.config;

import java.util.random.RandomGenerator;

/** The interval at which a router polls the log, so that all routers together poll four to six times a second. */
public final class PollInterval {

    private static final long MILLIS_PER_ROUTER = 250;
    private static final long SHORTEST_MILLIS = 500;
    private static final long LONGEST_MILLIS = 60_000;
    private static final double JITTER = 0.2;

    private PollInterval() {}

    /**
     * Draws an interval.
     *
     * @param liveRouters number of live routers
     * @param random gives the jitter of 20% each way
     * @return milliseconds
     */
    public static long millis(int liveRouters, RandomGenerator random) {
        double factor = 1 - JITTER + 2 * JITTER * random.nextDouble();
        long even = MILLIS_PER_ROUTER * Math.max(1, liveRouters);
        return Math.min(LONGEST_MILLIS, Math.max(SHORTEST_MILLIS, Math.round(even * factor)));
    }
}
