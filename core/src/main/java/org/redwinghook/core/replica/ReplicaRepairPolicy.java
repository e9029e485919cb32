package org.redwinghook.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides which routers repair the replica of a router that lags behind in one topic. If every router relayed every
 * record to all others, a series of configuration changes would saturate small links for seconds. Therefore the routers
 * that read the store relay each record once, and routers compare the offset sums of their replicas. A lagging router
 * receives the records from a few of the routers that have them, and from more of them the longer it lags. Offset sums
 * are compared within one era of the store; a router of an earlier era lags. Times are milliseconds of a monotonic clock.
 */
public final class ReplicaRepairPolicy {

    /** Time in which records that the store's readers relay reach all routers: several round trips between regions. */
    private static final long PROPAGATION_MILLIS = 400;

    /** Minimum time between two repairs of one router; a repair is larger than the missing records. */
    private static final long MINIMUM_REPAIR_INTERVAL_MILLIS = 1_000;

    /**
     * Number of routers that repair a lagging router in the first round; with two of them, a broken connection between
     * two routers does no harm.
     */
    private static final int INITIAL_REPAIRERS = 2;

    /** Factor by which the number of repairers grows with each round in which the router still lags. */
    private static final int REPAIRERS_GROWTH_FACTOR = 2;

    private static final int MAXIMUM_DOUBLINGS = 10;

    /** Number of rounds in which only the records are sent that changed since the other router was in sync. */
    private static final int PARTIAL_ROUNDS = 2;

    /** Offset sum of a replica without records. */
    private static final long NO_RECORDS = 0;

    private final Deque<OwnState> ownHistory = new ArrayDeque<>();
    private final Map<String, Long> peerOffsetSums = new HashMap<>();
    private final Map<String, LaggingPeer> laggingPeers = new HashMap<>();
    private final Map<String, Long> inSyncAtMillis = new HashMap<>();
    private long era;

    /**
     * Records the offset sum of this router's replica.
     *
     * @param newestEra era of the replica
     * @param offsetSum offset sum of its replica
     * @param nowMillis current time
     */
    public void recordOwnOffsetSum(long newestEra, long offsetSum, long nowMillis) {
        if (newestEra != era) {
            era = newestEra;
            ownHistory.clear();
            peerOffsetSums.clear();
            laggingPeers.clear();
            inSyncAtMillis.clear();
        }
        OwnState last = ownHistory.peekLast();
        if (last == null || last.offsetSum() != offsetSum) {
            ownHistory.addLast(new OwnState(offsetSum, nowMillis));
        }
        trimHistory(nowMillis);
    }

    /**
     * Records the offset sum that another router reported, and decides whether this router should repair its replica.
     *
     * @param self name of this router
     * @param peer name of the other router
     * @param peerEra era of its replica
     * @param reportedOffsetSum offset sum of its replica
     * @param nowMillis current time
     * @return true if this router should send its records to the other one
     */
    public boolean shouldRepair(String self, String peer, long peerEra, long reportedOffsetSum, long nowMillis) {
        if (peerEra > era || isIncomparable(peerEra, reportedOffsetSum)) {
            peerOffsetSums.remove(peer);
            laggingPeers.remove(peer);
            return false;
        }
        long offsetSum = peerEra == era ? reportedOffsetSum : NO_RECORDS;
        peerOffsetSums.put(peer, offsetSum);
        long propagatedOffsetSum = propagatedOffsetSum(nowMillis);
        if (offsetSum >= propagatedOffsetSum) {
            laggingPeers.remove(peer);
            if (propagatedOffsetSum != Long.MIN_VALUE && peerEra == era) {
                inSyncAtMillis.put(peer, nowMillis);
            }
            return false;
        }
        LaggingPeer previous =
                laggingPeers.getOrDefault(peer, new LaggingPeer(0, nowMillis - MINIMUM_REPAIR_INTERVAL_MILLIS));
        boolean isDue = nowMillis - previous.lastRoundMillis() >= MINIMUM_REPAIR_INTERVAL_MILLIS;
        if (!isDue) {
            return false;
        }
        long repairers = (long) INITIAL_REPAIRERS
                * (long) Math.pow(REPAIRERS_GROWTH_FACTOR, Math.min(previous.repairRounds(), MAXIMUM_DOUBLINGS));
        laggingPeers.put(peer, new LaggingPeer(previous.repairRounds() + 1, nowMillis));
        return rank(self, peer, propagatedOffsetSum) < repairers;
    }

    /** Whether a router has records of an unknown era, as one of a version before eras; it may have all records. */
    private boolean isIncomparable(long peerEra, long offsetSum) {
        return peerEra == 0 && era > 0 && offsetSum > NO_RECORDS;
    }

    /**
     * Time since which records that a lagging router may lack have changed. All records are sent to a router that was never
     * seen in sync, and to one that still lags after the first rounds.
     *
     * @param peer name of the other router
     * @return the time, {@link Long#MIN_VALUE} if it may lack any record
     */
    public long missingSinceMillis(String peer) {
        LaggingPeer lagging = laggingPeers.get(peer);
        Long inSync = inSyncAtMillis.get(peer);
        boolean isPartial = lagging != null && lagging.repairRounds() <= PARTIAL_ROUNDS && inSync != null;
        return isPartial ? inSync - PROPAGATION_MILLIS : Long.MIN_VALUE;
    }

    /**
     * Removes a router that is no longer connected.
     *
     * @param peer name of the router
     */
    public void removePeer(String peer) {
        peerOffsetSums.remove(peer);
        laggingPeers.remove(peer);
        inSyncAtMillis.remove(peer);
    }

    /** Number of connected routers that sort before this one and have the records that should have propagated. */
    private int rank(String self, String laggingPeer, long propagatedOffsetSum) {
        int rank = 0;
        for (Map.Entry<String, Long> peer : peerOffsetSums.entrySet()) {
            boolean isEarlier =
                    peer.getKey().compareTo(self) < 0 && !peer.getKey().equals(laggingPeer);
            if (isEarlier && peer.getValue() >= propagatedOffsetSum) {
                rank++;
            }
        }
        return rank;
    }

    /**
     * Newest offset sum of this router that should have propagated to all routers, {@link Long#MIN_VALUE} if there is
     * none.
     */
    private long propagatedOffsetSum(long nowMillis) {
        trimHistory(nowMillis);
        OwnState oldest = ownHistory.peekFirst();
        return oldest != null && nowMillis - oldest.sinceMillis() >= PROPAGATION_MILLIS
                ? oldest.offsetSum()
                : Long.MIN_VALUE;
    }

    /** Keeps the newest entry that is old enough to have propagated, and all newer ones. */
    private void trimHistory(long nowMillis) {
        while (ownHistory.size() > 1) {
            OwnState first = ownHistory.removeFirst();
            if (nowMillis - ownHistory.peekFirst().sinceMillis() < PROPAGATION_MILLIS) {
                ownHistory.addFirst(first);
                return;
            }
        }
    }

    private record OwnState(long offsetSum, long sinceMillis) {}

    private record LaggingPeer(int repairRounds, long lastRoundMillis) {}
}
