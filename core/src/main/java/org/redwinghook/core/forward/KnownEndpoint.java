package org.redwinghook.core.forward;

import org.redwinghook.core.placement.ColdPacing;
import org.redwinghook.core.placement.EndpointHealth;

/** An endpoint and what the router has learned of it. Times are milliseconds of a monotonic clock. */
public final class KnownEndpoint {

    /** Age from which a load that came with an answer no longer counts. */
    private static final long MAXIMUM_LOAD_AGE_MILLIS = 1_000;

    private final EndpointHealth health = new EndpointHealth();
    private final ColdPacing pacing = new ColdPacing();
    private EndpointEntry entry;
    private long coldUntilMillis;
    private int waitingRequests;
    private long waitingReceivedAtMillis = Long.MIN_VALUE / 2;

    KnownEndpoint(EndpointEntry entry, long nowMillis) {
        this.entry = entry;
        update(entry, nowMillis);
    }

    /**
     * What the endpoint last said of itself.
     *
     * @return the entry
     */
    public EndpointEntry entry() {
        return entry;
    }

    /**
     * Results of requests at the endpoint.
     *
     * @return its health
     */
    public EndpointHealth health() {
        return health;
    }

    /**
     * Requests that this router has sent to the endpoint.
     *
     * @return their pacing, which counts only while the endpoint is cold
     */
    public ColdPacing pacing() {
        return pacing;
    }

    /**
     * Notes the load that came with an answer.
     *
     * @param reportedRequests requests that waited at the endpoint
     * @param nowMillis time now
     */
    public void recordWaitingRequests(int reportedRequests, long nowMillis) {
        waitingRequests = reportedRequests;
        waitingReceivedAtMillis = nowMillis;
    }

    /**
     * Requests that waited at the endpoint.
     *
     * @param nowMillis time now
     * @return the number last reported, 0 if the report is old
     */
    public int waitingRequests(long nowMillis) {
        return nowMillis - waitingReceivedAtMillis <= MAXIMUM_LOAD_AGE_MILLIS ? waitingRequests : 0;
    }

    /**
     * Whether the endpoint is cold.
     *
     * @param nowMillis time now
     * @return true for some time after its start
     */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Notes for how long the endpoint stays cold.
     *
     * @param coldMillis remaining time, 0 if it is warm
     * @param nowMillis time now
     */
    public void recordColdMillis(long coldMillis, long nowMillis) {
        coldUntilMillis = nowMillis + coldMillis;
    }

    void update(EndpointEntry newest, long nowMillis) {
        entry = newest;
        recordColdMillis(newest.coldMillis(), nowMillis);
    }
}
