package org.redwinghook.core.forward;

/**
 * Pace at which requests return to an endpoint after the pause that it asked for. One request is sent first; each success
 * allows twice as many, so that an endpoint that is still overloaded is not sent all requests that waited for it.
 */
final class ReturnPace {

    /** Number of allowed requests from which the pace no longer limits. */
    private static final int FULL_PACE_REQUESTS = 32;

    /** Time after which one more request is allowed without a result of the earlier ones, in milliseconds. */
    private static final long RESULT_TIMEOUT_MILLIS = 1_000;

    private final long startMillis;
    private int allowedRequests = 1;
    private int startedRequests;

    /**
     * Creates the pace.
     *
     * @param startMillis monotonic time of the end of the pause
     */
    ReturnPace(long startMillis) {
        this.startMillis = startMillis;
    }

    long startMillis() {
        return startMillis;
    }

    void recordStart() {
        startedRequests++;
    }

    void recordSuccess(long nowMillis) {
        if (nowMillis >= startMillis) {
            allowedRequests *= 2;
        }
    }

    boolean isOver() {
        return allowedRequests >= FULL_PACE_REQUESTS;
    }

    boolean allows(long nowMillis) {
        return nowMillis >= startMillis && startedRequests < allowedRequests + unansweredAllowance(nowMillis);
    }

    long nextStartMillis(long nowMillis) {
        if (nowMillis < startMillis) {
            return startMillis;
        }
        return allows(nowMillis)
                ? nowMillis
                : startMillis + (unansweredAllowance(nowMillis) + 1) * RESULT_TIMEOUT_MILLIS;
    }

    private long unansweredAllowance(long nowMillis) {
        return (nowMillis - startMillis) / RESULT_TIMEOUT_MILLIS;
    }
}
