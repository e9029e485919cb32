package org.redwinghook.core.admission;

/** Memory in tokens over the intervals of a projection, as mean and variance of independent generations. */
final class ProjectedMemory {

    /**
     * Number of standard deviations above the mean; one very long generation that continues changes the sum by more
     * than many short ones.
     */
    private static final double STANDARD_DEVIATIONS = 1;

    private final double[] means;
    private final double[] variances;

    ProjectedMemory(int intervals) {
        means = new double[intervals];
        variances = new double[intervals];
    }

    void add(int interval, double survival, double tokens) {
        means[interval] += survival * tokens;
        variances[interval] += survival * (1 - survival) * tokens * tokens;
    }

    double peak() {
        double peak = 0;
        for (int interval = 0; interval < means.length; interval++) {
            peak = Math.max(peak, means[interval] + STANDARD_DEVIATIONS * Math.sqrt(variances[interval]));
        }
        return peak;
    }
}
