package org.redwinghook.experiments.policy;

/**
 * Data centres and network latencies. Data centres 0 and 1 are in the home region, data centre 2 is in another region.
 *
 * @param localLatencyMicros one-way latency within a region
 */
record Topology(long localLatencyMicros) {

    static final int DATA_CENTRES = 3;

    /** The data centre that leaves and returns. */
    static final int MOVED_DATA_CENTRE = 1;

    private static final int FIRST_REMOTE_DATA_CENTRE = 2;
    private static final long INTER_REGION_LATENCY_MICROS = 30_000;

    boolean isSameRegion(int first, int second) {
        return (first >= FIRST_REMOTE_DATA_CENTRE) == (second >= FIRST_REMOTE_DATA_CENTRE);
    }

    long latencyMicros(int first, int second) {
        return isSameRegion(first, second) ? localLatencyMicros : INTER_REGION_LATENCY_MICROS;
    }
}
