package org.redwinghook.runtime.config;

import java.util.random.RandomGenerator;

/**
 * The interval at which a router polls the log. It grows with the number of routers, so that all routers together poll
 * four to six times a second.
 */
public final class PollInterval {

    private static final long MILLIS_PER_ROUTER = 250;
    private static final long MINIMUM_MILLIS = 500;
    private static final long MAXIMUM_MILLIS = 60_000;
    private static final double JITTER_FRACTION = 0.2;

    private PollInterval() {}

    /**
     * Returns a random interval.
     *
     * @param liveRouters number of live routers
     * @param random source of the jitter of 20% in both directions
     * @return the interval in milliseconds
     */
    public static long millis(int liveRouters, RandomGenerator random) {
        double factor = 1 - JITTER_FRACTION + 2 * JITTER_FRACTION * random.nextDouble();
        long meanMillis = MILLIS_PER_ROUTER * Math.max(1, liveRouters);
        return Math.min(MAXIMUM_MILLIS, Math.max(MINIMUM_MILLIS, Math.round(meanMillis * factor)));
    }
}
