package org.redwinghook.core.admission;

/** Concurrency limit that starts at the cold value, doubles while the endpoint keeps up, and falls when it turns cold. */
final class WarmUpLimit {

    /** Requests that a cold endpoint runs at once. */
    static final int COLD_LIMIT = 2;

    /** Fewer responses are too few to judge an endpoint. */
    private static final int SMALLEST_WINDOW = 8;

    /** Target of the requirements for the first token. */
    private static final long FIRST_TOKEN_BOUND_MILLIS = 870;

    /** Target of the requirements between tokens. */
    private static final long GAP_BOUND_MILLIS = 80;

    /** Factor over the learned baseline from which an endpoint counts as cold. */
    private static final double COLD_FACTOR = 3;

    /** Weight of the newest window in the baseline. */
    private static final double BASELINE_WEIGHT = 0.3;

    private static final int GAP_SAMPLES = 32;
    private static final int FIRST_TOKEN_SAMPLES = 8;

    private final int maximum;
    private final RecentMedian gaps = new RecentMedian(GAP_SAMPLES);
    private final RecentMedian firstTokens = new RecentMedian(FIRST_TOKEN_SAMPLES);
    private int limit;
    private int responses;
    private double gapBaseline;
    private double firstTokenBaseline;

    WarmUpLimit(int maximum) {
        this.maximum = maximum;
        this.limit = Math.min(COLD_LIMIT, maximum);
    }

    int limit() {
        return limit;
    }

    void firstToken(long millis) {
        firstTokens.add(millis);
        if (firstTokens.full() && isCold(firstTokens.median(), firstTokenBaseline, FIRST_TOKEN_BOUND_MILLIS)) {
            turnedCold();
        }
    }

    void gap(long millis) {
        gaps.add(millis);
        if (millis > GAP_BOUND_MILLIS && gaps.full() && isCold(gaps.median(), gapBaseline, GAP_BOUND_MILLIS)) {
            turnedCold();
        }
    }

    /** Whether a gap that has not ended is already too long for a warm endpoint. */
    boolean isSilent(long gapMillis) {
        return isCold(gapMillis, gapBaseline, GAP_BOUND_MILLIS);
    }

    /**
     * Counts a response. One that met less than half of the limit's load does not show that the endpoint takes the
     * limit.
     */
    void response(int running) {
        if (2 * running <= limit) {
            return;
        }
        responses++;
        if (responses < Math.max(SMALLEST_WINDOW, limit)) {
            return;
        }
        responses = 0;
        if (gaps.median() > GAP_BOUND_MILLIS || firstTokens.median() > FIRST_TOKEN_BOUND_MILLIS) {
            return;
        }
        gapBaseline = learn(gapBaseline, gaps.median());
        firstTokenBaseline = learn(firstTokenBaseline, firstTokens.median());
        if (limit < maximum) {
            limit = Math.min(maximum, limit * 2);
            clear();
        }
    }

    /** The baselines are kept: a restarted endpoint becomes as fast again as it was. */
    void turnedCold() {
        limit = Math.min(COLD_LIMIT, maximum);
        clear();
    }

    private void clear() {
        responses = 0;
        gaps.clear();
        firstTokens.clear();
    }

    /** An endpoint within its bounds is not cold, however fast it was before under less load. */
    private static boolean isCold(long millis, double baseline, long bound) {
        return baseline > 0 && millis > bound && millis > COLD_FACTOR * baseline;
    }

    private static double learn(double baseline, long median) {
        return baseline == 0 || median == 0
                ? Math.max(baseline, median)
                : baseline + BASELINE_WEIGHT * (median - baseline);
    }
}
