package org.redwinghook.core.admission;

/**
 * Concurrency limit that starts at the cold value, doubles while the endpoint keeps up, and returns to the cold value
 * when the endpoint turns cold.
 */
final class WarmUpLimit {

    /** Number of requests that a cold endpoint can run concurrently. */
    static final int COLD_LIMIT = 2;

    /** Minimum number of responses in a window; fewer are too few to assess an endpoint. */
    private static final int MINIMUM_WINDOW_RESPONSES = 8;

    /** Required time to first token. */
    private static final long FIRST_TOKEN_TARGET_MILLIS = 870;

    /** Required time between tokens. */
    private static final long GAP_TARGET_MILLIS = 80;

    /** Factor over the learned baseline above which an endpoint counts as cold. */
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

    void recordFirstToken(long millis) {
        firstTokens.add(millis);
        if (firstTokens.isFull() && isCold(firstTokens.median(), firstTokenBaseline, FIRST_TOKEN_TARGET_MILLIS)) {
            resetToCold();
        }
    }

    void recordGap(long millis) {
        gaps.add(millis);
        if (millis > GAP_TARGET_MILLIS && gaps.isFull() && isCold(gaps.median(), gapBaseline, GAP_TARGET_MILLIS)) {
            resetToCold();
        }
    }

    /** Whether the time since the last token is already too long for a warm endpoint. */
    boolean isStalled(long gapMillis) {
        return isCold(gapMillis, gapBaseline, GAP_TARGET_MILLIS);
    }

    /**
     * Counts a response. A response at half of the limit's load or less does not show that the endpoint can handle the
     * limit.
     */
    void recordResponse(int running) {
        if (2 * running <= limit) {
            return;
        }
        responses++;
        if (responses < Math.max(MINIMUM_WINDOW_RESPONSES, limit)) {
            return;
        }
        responses = 0;
        if (gaps.median() > GAP_TARGET_MILLIS || firstTokens.median() > FIRST_TOKEN_TARGET_MILLIS) {
            return;
        }
        gapBaseline = updateBaseline(gapBaseline, gaps.median());
        firstTokenBaseline = updateBaseline(firstTokenBaseline, firstTokens.median());
        if (limit < maximum) {
            limit = Math.min(maximum, limit * 2);
            clear();
        }
    }

    /**
     * Returns to the cold limit. The baselines are kept, since a restarted endpoint becomes as fast again as it was.
     */
    void resetToCold() {
        limit = Math.min(COLD_LIMIT, maximum);
        clear();
    }

    private void clear() {
        responses = 0;
        gaps.clear();
        firstTokens.clear();
    }

    /** An endpoint that meets its targets is not cold, however fast it was before under less load. */
    private static boolean isCold(long millis, double baseline, long targetMillis) {
        return baseline > 0 && millis > targetMillis && millis > COLD_FACTOR * baseline;
    }

    private static double updateBaseline(double baseline, long median) {
        return baseline == 0 || median == 0
                ? Math.max(baseline, median)
                : baseline + BASELINE_WEIGHT * (median - baseline);
    }
}
