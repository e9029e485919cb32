package org.redwinghook.core.dispatch;

/** A waiting request with the values by which it is ordered. */
final class WaitingEntry {

    /** Time after which a waiting request has been examined or found similar to one that was, in milliseconds. */
    private static final long COVERED_MILLIS = 500;

    private final DispatchRequest request;
    private final CustomerShares.Share share;
    private final long sequence;
    private final long work;
    private final long latestStartMillis;
    private final long latestUsefulStartMillis;
    private boolean isExamined;

    WaitingEntry(DispatchRequest request, CustomerShares.Share share, long sequence) {
        this.request = request;
        this.share = share;
        this.sequence = sequence;
        this.work = request.work();
        this.latestStartMillis = request.latestStartMillis();
        this.latestUsefulStartMillis = request.latestUsefulStartMillis();
    }

    DispatchRequest request() {
        return request;
    }

    CustomerShares.Share share() {
        return share;
    }

    long work() {
        return work;
    }

    boolean isLate(long nowMillis) {
        return nowMillis > latestStartMillis;
    }

    /** Whether the request was found to have no capacity and cannot be completed in time any more. */
    boolean isUnservable(long nowMillis) {
        // A request that is covered by similar ones is not examined itself.
        boolean hasWaited = isExamined || nowMillis - request.arrivedAtMillis() > COVERED_MILLIS;
        return hasWaited && nowMillis > latestUsefulStartMillis;
    }

    boolean isOverdue(long nowMillis) {
        return request.rule().isOverdue(request, nowMillis);
    }

    void setExamined() {
        isExamined = true;
    }

    /** Whether the request comes before another one of the same level: fair rounds, nearest objective, less work. */
    boolean isBefore(WaitingEntry other) {
        int round = share.round(request.rule().roundWork());
        int otherRound = other.share.round(other.request.rule().roundWork());
        if (round != otherRound) {
            return round < otherRound;
        }
        if (request.objectiveAtMillis() != other.request.objectiveAtMillis()) {
            return request.objectiveAtMillis() < other.request.objectiveAtMillis();
        }
        return work != other.work ? work < other.work : sequence < other.sequence;
    }
}
