package org.redwinghook.core.forward;

/**
 * Load of an endpoint according to one of its responses.
 *
 * @param running requests that run there
 * @param waiting requests that wait there
 * @param slots number of requests that it can run concurrently, at least 1
 * @param percent how long work takes there now: 100 is usual, 200 takes twice as long; {@link #NO_PERCENT} if it does
 *     not report this
 */
public record ReportedLoad(int running, int waiting, int slots, int percent) {

    /** Value of the percentage of endpoints that do not report it. */
    public static final int NO_PERCENT = 0;

    /** Load of a response whose figures cannot be used. */
    public static final ReportedLoad UNUSABLE = new ReportedLoad(-1, -1, -1, -1);

    /** Largest number of requests or slots that an endpoint can have; more is an error of the endpoint. */
    private static final int MAXIMUM_REQUESTS = 100_000;

    /** Smallest and largest percentage that an endpoint can have; others are errors of the endpoint. */
    private static final int MINIMUM_PERCENT = 5;

    private static final int MAXIMUM_PERCENT = 5_000;

    /**
     * Creates a load from figures that an endpoint sent.
     *
     * @param running requests that run there
     * @param waiting requests that wait there
     * @param slots number of requests that it can run concurrently
     * @return the load, {@link #UNUSABLE} if a figure is out of range
     */
    public static ReportedLoad of(long running, long waiting, long slots) {
        if (isOutside(running, 0, MAXIMUM_REQUESTS)
                || isOutside(waiting, 0, MAXIMUM_REQUESTS)
                || isOutside(slots, 1, MAXIMUM_REQUESTS)) {
            return UNUSABLE;
        }
        return new ReportedLoad((int) running, (int) waiting, (int) slots, NO_PERCENT);
    }

    /**
     * Adds the percentage that an endpoint sent.
     *
     * @param reportedPercent how long work takes there now
     * @return the load, {@link #UNUSABLE} if a figure is out of range
     */
    public ReportedLoad withPercent(long reportedPercent) {
        if (!isUsable() || isOutside(reportedPercent, MINIMUM_PERCENT, MAXIMUM_PERCENT)) {
            return UNUSABLE;
        }
        return new ReportedLoad(running, waiting, slots, (int) reportedPercent);
    }

    /**
     * Whether the figures can be used.
     *
     * @return false for {@link #UNUSABLE}
     */
    public boolean isUsable() {
        return slots > 0;
    }

    private static boolean isOutside(long figure, long minimum, long maximum) {
        return figure < minimum || figure > maximum;
    }
}
