package org.redwinghook.core.rollout;

/** An attempt at an endpoint of a service with a roll-out. Times are milliseconds of a monotonic clock. */
public final class ObservedAttempt {

    private final String route;
    private final String endpoint;
    private final boolean isNewVersion;
    private final boolean isCold;
    private final long startedAtMillis;
    private long firstEventMillis = -1;
    private long gaps;
    private long gapMillis;
    private boolean isCounted;

    /**
     * Creates an attempt.
     *
     * @param route name of the request's route
     * @param endpoint identifier of the endpoint's start
     * @param isNewVersion whether the endpoint has the version on trial
     * @param isCold whether the endpoint is cold, so that its times say nothing about its version
     * @param startedAtMillis time of the start
     */
    public ObservedAttempt(String route, String endpoint, boolean isNewVersion, boolean isCold, long startedAtMillis) {
        this.route = route;
        this.endpoint = endpoint;
        this.isNewVersion = isNewVersion;
        this.isCold = isCold;
        this.startedAtMillis = startedAtMillis;
    }

    /**
     * Records the first event of a generation.
     *
     * @param sinceStartMillis time since the start
     */
    public void recordFirstEvent(long sinceStartMillis) {
        firstEventMillis = sinceStartMillis;
    }

    /**
     * Records a further event of a generation.
     *
     * @param millis time since the previous event
     */
    public void recordNextEvent(long millis) {
        gaps++;
        gapMillis += millis;
    }

    /**
     * Whether the endpoint has the version on trial.
     *
     * @return false for the versions in use
     */
    public boolean isNewVersion() {
        return isNewVersion;
    }

    String route() {
        return route;
    }

    String endpoint() {
        return endpoint;
    }

    boolean isCold() {
        return isCold;
    }

    /** Time to the response or its first event, or the time for which it has been awaited. */
    long responseMillis(long nowMillis) {
        return firstEventMillis >= 0 ? firstEventMillis : nowMillis - startedAtMillis;
    }

    /** Mean time between events, 0 without any. */
    double meanGapMillis() {
        return gaps == 0 ? 0 : (double) gapMillis / gaps;
    }

    /** Keeps the time to the response as it is at the end. */
    void recordEnd(long sinceStartMillis) {
        if (firstEventMillis < 0) {
            firstEventMillis = sinceStartMillis;
        }
    }

    /** Marks the attempt as counted; returns whether it was counted before. */
    boolean markCounted() {
        boolean before = isCounted;
        isCounted = true;
        return before;
    }
}
