package org.redwinghook.core.admission;

/** Moving averages of the time for which requests hold a slot, from which waits are estimated. */
final class HoldTime {

    /** Weight of the newest request in the average. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Hold time that is assumed before the first request has ended. */
    private static final double DEFAULT_HOLD_MILLIS = 1_000;

    private double quickMillis;
    private double longMillis;

    void recordHoldTime(boolean quick, long heldMillis) {
        if (quick) {
            quickMillis = updateMean(quickMillis, heldMillis);
        } else {
            longMillis = updateMean(longMillis, heldMillis);
        }
    }

    /** Expected wait behind a number of requests that share slots which free up independently. */
    long waitMillis(int quickAhead, int longAhead, int slots) {
        double work = quickAhead * orDefault(quickMillis) + longAhead * orDefault(longMillis);
        return Math.round(work / Math.max(1, slots));
    }

    private static double updateMean(double mean, long heldMillis) {
        return mean == 0 ? heldMillis : mean + NEWEST_WEIGHT * (heldMillis - mean);
    }

    private static double orDefault(double millis) {
        return millis == 0 ? DEFAULT_HOLD_MILLIS : millis;
    }
}
