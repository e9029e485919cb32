package org.redwinghook.core.rollout;

/** Typical value of recent times: their geometric mean, to which a few very long ones matter little. */
final class TypicalTime {

    /** Times from which a value is known. */
    private static final int MINIMUM_TIMES = 5;

    /** Times from which a value needs no confirmation by those of other routers. */
    private static final int SUFFICIENT_TIMES = 20;

    /** Weight of the newest time: about the last 20 count. */
    private static final double NEWEST_WEIGHT = 0.05;

    private double meanLog;
    private long times;

    void record(double millis) {
        times++;
        double weight = Math.max(NEWEST_WEIGHT, 1.0 / times);
        meanLog += weight * (Math.log(Math.max(1, millis)) - meanLog);
    }

    boolean isSufficient() {
        return times >= SUFFICIENT_TIMES;
    }

    /** Returns the typical time in milliseconds, 0 if too few are known. */
    double millis() {
        return times < MINIMUM_TIMES ? 0 : Math.exp(meanLog);
    }
}
