package org.redwinghook.core.rollout;

/**
 * Limits of the roll-outs, for all routers together.
 *
 * @param exposureShare share of a service's requests that a bad version may receive
 * @param exposureSlack requests that a bad version may receive in addition
 * @param rollbackMillis time after the 50th bad response from which a bad version receives no requests, in milliseconds
 * @param steps steps between the trial and the full share
 * @param evidence good responses that the full share needs
 */
public record RolloutLimits(double exposureShare, double exposureSlack, long rollbackMillis, int steps, int evidence) {

    /** Limits of deployments that set none. */
    public static final RolloutLimits DEFAULT = new RolloutLimits(0.1, 50, 5_000, 2, 20);

    /** Longest interval of evidence between routers, in milliseconds. */
    private static final long MAXIMUM_REPORT_INTERVAL_MILLIS = 300;

    /** Reports that fit into half of the time for a rollback, so that one of them may be lost. */
    private static final long REPORTS_IN_ROLLBACK = 8;

    /**
     * Interval at which routers exchange evidence.
     *
     * @return the interval in milliseconds
     */
    public long reportIntervalMillis() {
        return Math.max(10, Math.min(MAXIMUM_REPORT_INTERVAL_MILLIS, rollbackMillis / 2 / REPORTS_IN_ROLLBACK));
    }

    /**
     * Age up to which the evidence of another router is fresh. A router that receives none for this time stops to use
     * the new version, since it may miss a verdict.
     *
     * @return the age in milliseconds
     */
    public long freshnessMillis() {
        return rollbackMillis / 2;
    }
}
