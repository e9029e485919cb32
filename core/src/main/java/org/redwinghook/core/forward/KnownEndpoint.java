package org.redwinghook.core.forward;

import org.redwinghook.core.placement.ColdPacing;
import org.redwinghook.core.placement.EndpointHealth;

/** A registered endpoint and the state that the router has observed. Times are milliseconds of a monotonic clock. */
public final class KnownEndpoint {

    /** Maximum age of a load reported with a response. */
    private static final long MAXIMUM_LOAD_AGE_MILLIS = 1_000;

    private final EndpointHealth health = new EndpointHealth();
    private final ColdPacing pacing = new ColdPacing();
    private EndpointEntry entry;
    private long coldUntilMillis;
    private boolean isRemoved;
    private boolean hasAnnouncedLeaving;
    private int waitingRequests;
    private long waitingReceivedAtMillis = Long.MIN_VALUE / 2;

    KnownEndpoint(EndpointEntry entry, long nowMillis) {
        this.entry = entry;
        update(entry, nowMillis);
    }

    /**
     * Latest registration record of the endpoint.
     *
     * @return the entry
     */
    public EndpointEntry entry() {
        return entry;
    }

    /**
     * Health of the endpoint according to the results of requests.
     *
     * @return the health
     */
    public EndpointHealth health() {
        return health;
    }

    /**
     * Pacing of the requests that this router sends to the endpoint.
     *
     * @return the pacing, which applies only while the endpoint is cold
     */
    public ColdPacing pacing() {
        return pacing;
    }

    /**
     * Records the load reported with a response.
     *
     * @param reportedRequests number of requests that waited at the endpoint
     * @param nowMillis current time
     */
    public void recordWaitingRequests(int reportedRequests, long nowMillis) {
        waitingRequests = reportedRequests;
        waitingReceivedAtMillis = nowMillis;
    }

    /**
     * Number of requests that wait at the endpoint.
     *
     * @param nowMillis current time
     * @return the last reported number, 0 if the report is outdated
     */
    public int waitingRequests(long nowMillis) {
        return nowMillis - waitingReceivedAtMillis <= MAXIMUM_LOAD_AGE_MILLIS ? waitingRequests : 0;
    }

    /**
     * Whether the endpoint is about to end: it drains, or its entry was removed.
     *
     * @return true from the notice on
     */
    public boolean isLeaving() {
        return isRemoved || hasAnnouncedLeaving || entry.draining();
    }

    /** Records that the endpoint itself announced that it leaves, which a later entry does not revoke. */
    public void recordLeavingAnnouncement() {
        hasAnnouncedLeaving = true;
    }

    void recordRemoval() {
        isRemoved = true;
    }

    /**
     * Whether the endpoint is cold.
     *
     * @param nowMillis current time
     * @return true for some time after its start
     */
    public boolean isCold(long nowMillis) {
        return nowMillis < coldUntilMillis;
    }

    /**
     * Records for how long the endpoint stays cold.
     *
     * @param coldMillis remaining time, 0 if it is warm
     * @param nowMillis current time
     */
    public void recordColdMillis(long coldMillis, long nowMillis) {
        coldUntilMillis = nowMillis + coldMillis;
    }

    void update(EndpointEntry newest, long nowMillis) {
        entry = newest;
        isRemoved = false;
        recordColdMillis(newest.coldMillis(), nowMillis);
    }
}
