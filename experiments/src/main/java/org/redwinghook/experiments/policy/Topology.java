package org.redwinghook.experiments.policy;

/** Data centres 0 and 1 are in the home region, data centre 2 in the other one. */
record Topology(long localLatencyMicros) {

    static final int DATA_CENTRES = 3;

    /** The data centre that leaves and returns. */
    static final int MOVED_DATA_CENTRE = 1;

    private static final int OTHER_REGION_FROM = 2;
    private static final long REGION_LATENCY_MICROS = 30_000;

    boolean sameRegion(int one, int other) {
        return (one >= OTHER_REGION_FROM) == (other >= OTHER_REGION_FROM);
    }

    long latencyMicros(int one, int other) {
        return sameRegion(one, other) ? localLatencyMicros : REGION_LATENCY_MICROS;
    }
}
