package org.redwinghook.core.replica;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Who passes the records of one topic on, and to whom. Answers many routers on small links during a series of changes of
 * the configuration: when each router passes each record on to all others, their links are full for seconds. The routers
 * that wait at the store pass records on once; the others compare what they know, and a router that stays behind is sent
 * what it lacks by a few of those that have it, by more of them the longer it stays behind. Times are milliseconds of a
 * monotonic clock.
 */
public final class ReplicaRepairPolicy {

    /** Time in which what the store's readers pass on reaches a router; several trips between regions. */
    private static final long PROPAGATION_MILLIS = 400;

    /** Least time between two repairs of one router; a repair is larger than the records that are missing. */
    private static final long MINIMUM_REPAIR_INTERVAL_MILLIS = 1_000;

    /** Routers that repair one that is behind for the first time; a second one covers a cut between two of them. */
    private static final int INITIAL_REPAIRERS = 2;

    /** Factor by which the number of repairers grows with each report that shows the router still behind. */
    private static final int REPAIRERS_GROWTH_FACTOR = 2;

    private static final int MAXIMUM_DOUBLINGS = 10;

    private final Deque<OwnState> ownHistory = new ArrayDeque<>();
    private final Map<String, Long> peerOffsetSums = new HashMap<>();
    private final Map<String, LaggingPeer> laggingPeers = new HashMap<>();

    /**
     * Notes what this router knows.
     *
     * @param offsetSum sum of its copy
     * @param nowMillis time now
     */
    public void recordOwnOffsetSum(long offsetSum, long nowMillis) {
        OwnState last = ownHistory.peekLast();
        if (last == null || last.offsetSum() != offsetSum) {
            ownHistory.addLast(new OwnState(offsetSum, nowMillis));
        }
        trimHistory(nowMillis);
    }

    /**
     * Notes what another router says that it knows, and decides whether to send it what it lacks.
     *
     * @param self name of this router
     * @param peer name of the other router
     * @param offsetSum sum of its copy
     * @param nowMillis time now
     * @return true if this router should send its records to the other one
     */
    public boolean shouldRepair(String self, String peer, long offsetSum, long nowMillis) {
        peerOffsetSums.put(peer, offsetSum);
        long propagatedOffsetSum = propagatedOffsetSum(nowMillis);
        if (offsetSum >= propagatedOffsetSum) {
            laggingPeers.remove(peer);
            return false;
        }
        LaggingPeer previous =
                laggingPeers.getOrDefault(peer, new LaggingPeer(0, nowMillis - MINIMUM_REPAIR_INTERVAL_MILLIS));
        boolean due = nowMillis - previous.lastRoundMillis() >= MINIMUM_REPAIR_INTERVAL_MILLIS;
        if (!due) {
            return false;
        }
        long repairers = (long) INITIAL_REPAIRERS
                * (long) Math.pow(REPAIRERS_GROWTH_FACTOR, Math.min(previous.repairRounds(), MAXIMUM_DOUBLINGS));
        laggingPeers.put(peer, new LaggingPeer(previous.repairRounds() + 1, nowMillis));
        return rank(self, peer, propagatedOffsetSum) < repairers;
    }

    /**
     * Forgets a router that is no longer connected.
     *
     * @param peer its name
     */
    public void removePeer(String peer) {
        peerOffsetSums.remove(peer);
        laggingPeers.remove(peer);
    }

    /** Number of connected routers that sort before this one and know what has settled. */
    private int rank(String self, String laggingPeer, long propagatedOffsetSum) {
        int rank = 0;
        for (Map.Entry<String, Long> peer : peerOffsetSums.entrySet()) {
            boolean before = peer.getKey().compareTo(self) < 0 && !peer.getKey().equals(laggingPeer);
            if (before && peer.getValue() >= propagatedOffsetSum) {
                rank++;
            }
        }
        return rank;
    }

    /** What this router knew some time ago; the others should know it by now. */
    private long propagatedOffsetSum(long nowMillis) {
        trimHistory(nowMillis);
        OwnState oldest = ownHistory.peekFirst();
        return oldest != null && nowMillis - oldest.sinceMillis() >= PROPAGATION_MILLIS
                ? oldest.offsetSum()
                : Long.MIN_VALUE;
    }

    /** Keeps the newest entry that is old enough to have settled, and all that are newer. */
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
