package org.redwinghook.core.forward;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.ColdPacing;
import org.redwinghook.core.placement.EndpointHealth;
import org.redwinghook.core.placement.MomentarySpeed;
import org.redwinghook.core.placement.Slowdown;

/** A registered endpoint and the state that the router has observed. Times are milliseconds of a monotonic clock. */
public final class KnownEndpoint {

    /** Maximum age of a load reported with a response. */
    private static final long MAXIMUM_LOAD_AGE_MILLIS = 1_000;

    /** Maximum age of the reported number of running requests: two typical calls of plain services. */
    private static final long MAXIMUM_RUNNING_AGE_MILLIS = 120;

    private final EndpointHealth health = new EndpointHealth();
    private final ColdPacing pacing = new ColdPacing();
    private final MomentarySpeed momentarySpeed = new MomentarySpeed();
    private EndpointEntry entry;
    private long coldUntilMillis;
    private boolean isRemoved;
    private @Nullable ReportedLoad load;
    private long loadReceivedAtMillis = Long.MIN_VALUE / 2;
    private boolean hasReportedUnusableLoad;
    private double learnedSlowdown = Candidate.USUAL_SLOWDOWN;
    private boolean hasLeaveNotice;
    private long leavesAtMillis = Long.MAX_VALUE;
    private boolean hasAnnouncedLeaving;

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
     * @param reported the load; unusable figures change nothing
     * @param nowMillis current time
     * @return false if the figures are the first unusable ones of the endpoint
     */
    public boolean recordLoad(ReportedLoad reported, long nowMillis) {
        if (!reported.isUsable()) {
            boolean isFirst = !hasReportedUnusableLoad;
            hasReportedUnusableLoad = true;
            return !isFirst;
        }
        load = reported;
        loadReceivedAtMillis = nowMillis;
        if (reported.percent() != ReportedLoad.NO_PERCENT) {
            momentarySpeed.record(reported.percent(), nowMillis);
        }
        return true;
    }

    /**
     * Number of requests that wait at the endpoint.
     *
     * @param nowMillis current time
     * @return the last reported number, 0 if the report is outdated
     */
    public int waitingRequests(long nowMillis) {
        ReportedLoad newest = load;
        return newest == null || isLoadOlder(MAXIMUM_LOAD_AGE_MILLIS, nowMillis) ? 0 : newest.waiting();
    }

    /**
     * Number of requests that run at the endpoint.
     *
     * @param nowMillis current time
     * @return the last reported number, 0 if the report is outdated
     */
    public int runningRequests(long nowMillis) {
        ReportedLoad newest = load;
        return newest == null || isLoadOlder(MAXIMUM_RUNNING_AGE_MILLIS, nowMillis) ? 0 : newest.running();
    }

    /**
     * Number of requests that the endpoint can run concurrently.
     *
     * @param nowMillis current time
     * @return the last reported number, that of its entry if the report is outdated
     */
    public int slots(long nowMillis) {
        ReportedLoad newest = load;
        return newest == null || isLoadOlder(MAXIMUM_LOAD_AGE_MILLIS, nowMillis) ? entry.slots() : newest.slots();
    }

    private boolean isLoadOlder(long maximumAgeMillis, long nowMillis) {
        return nowMillis - loadReceivedAtMillis > maximumAgeMillis;
    }

    /**
     * Sets what was learned about the speed of the endpoint.
     *
     * @param slowdown how long work takes there, relative to the typical endpoint of its service
     */
    public void setLearnedSlowdown(double slowdown) {
        learnedSlowdown = slowdown;
    }

    /**
     * Learned slowdown of the endpoint, without its current deviation.
     *
     * @return the factor
     */
    public double learnedSlowdown() {
        return learnedSlowdown;
    }

    /**
     * How long work takes at the endpoint now, relative to the typical endpoint of its service.
     *
     * @param nowMillis current time
     * @return the learned slowdown, changed by what the endpoint has just reported
     */
    public double slowdown(long nowMillis) {
        return Slowdown.limit(learnedSlowdown * momentarySlowdown(nowMillis));
    }

    /**
     * Current deviation of the endpoint from its own usual speed, according to what it has just reported.
     *
     * @param nowMillis current time
     * @return the factor, 1 if nothing fresh is reported
     */
    public double momentarySlowdown(long nowMillis) {
        return Slowdown.limit(momentarySpeed.factor(nowMillis));
    }

    /**
     * Whether the endpoint is about to end: it drains, its entry was removed, or its report says so.
     *
     * @return true from the notice on
     */
    public boolean isLeaving() {
        return isRemoved || isDeparting();
    }

    /**
     * Whether the endpoint, its report or its entry says that it leaves. An entry that is only missing says nothing: it may
     * have lapsed while the store was unavailable.
     *
     * @return true from the notice on
     */
    public boolean isDeparting() {
        return entry.draining() || hasLeaveNotice || hasAnnouncedLeaving;
    }

    /**
     * Records that the endpoint leaves according to its own report.
     *
     * @param endMillis time of its end, {@link Long#MAX_VALUE} if it is not known
     */
    public void recordLeaveNotice(long endMillis) {
        hasLeaveNotice = true;
        leavesAtMillis = endMillis;
    }

    /** Records that the endpoint stays according to a later report of its own. */
    public void clearLeaveNotice() {
        hasLeaveNotice = false;
        leavesAtMillis = Long.MAX_VALUE;
    }

    /**
     * Whether the endpoint leaves according to its own report, whatever its entry says.
     *
     * @return true from the notice on
     */
    public boolean hasLeaveNotice() {
        return hasLeaveNotice;
    }

    /**
     * Time at which the endpoint ends.
     *
     * @return the time, {@link Long#MAX_VALUE} if it is not known
     */
    public long leavesAtMillis() {
        return leavesAtMillis;
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
