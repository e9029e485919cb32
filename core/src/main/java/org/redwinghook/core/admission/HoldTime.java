package org.redwinghook.core.admission;

/** Learned time for which requests hold a slot, as a basis for expected waits. */
final class HoldTime {

    /** Weight of the newest request. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Assumed before the first request has ended. */
    private static final double UNKNOWN_MILLIS = 1_000;

    private double quickMillis;
    private double longMillis;

    void ended(boolean quick, long heldMillis) {
        if (quick) {
            quickMillis = learn(quickMillis, heldMillis);
        } else {
            longMillis = learn(longMillis, heldMillis);
        }
    }

    /** Expected wait behind a number of requests that share slots which free up independently. */
    long waitMillis(int quickAhead, int longAhead, int slots) {
        double work = quickAhead * known(quickMillis) + longAhead * known(longMillis);
        return Math.round(work / Math.max(1, slots));
    }

    private static double learn(double mean, long heldMillis) {
        return mean == 0 ? heldMillis : mean + NEWEST_WEIGHT * (heldMillis - mean);
    }

    private static double known(double millis) {
        return millis == 0 ? UNKNOWN_MILLIS : millis;
    }
}
