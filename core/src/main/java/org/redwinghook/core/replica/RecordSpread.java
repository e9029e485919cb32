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
public final class RecordSpread {

    /** Time in which what the store's readers pass on reaches a router; several trips between regions. */
    private static final long ON_ITS_WAY_MILLIS = 400;

    /** Least time between two repairs of one router; a repair is larger than the records that are missing. */
    private static final long REPAIR_MILLIS = 1_000;

    /** Routers that repair one that is behind for the first time; a second one covers a cut between two of them. */
    private static final int FIRST_REPAIRERS = 2;

    /** Factor by which the number of repairers grows with each report that shows the router still behind. */
    private static final int REPAIRERS_FACTOR = 2;

    private static final int MOST_DOUBLINGS = 10;

    private final Deque<Known> own = new ArrayDeque<>();
    private final Map<String, Long> peers = new HashMap<>();
    private final Map<String, Behind> behind = new HashMap<>();

    /**
     * Notes what this router knows.
     *
     * @param knowledge sum of its copy
     * @param nowMillis time now
     */
    public void knows(long knowledge, long nowMillis) {
        Known last = own.peekLast();
        if (last == null || last.knowledge() != knowledge) {
            own.addLast(new Known(knowledge, nowMillis));
        }
        forget(nowMillis);
    }

    /**
     * Notes what another router says that it knows, and decides whether to send it what it lacks.
     *
     * @param self name of this router
     * @param peer name of the other router
     * @param knowledge sum of its copy
     * @param nowMillis time now
     * @return true if this router should send its records to the other one
     */
    public boolean repairs(String self, String peer, long knowledge, long nowMillis) {
        peers.put(peer, knowledge);
        long settled = settled(nowMillis);
        if (knowledge >= settled) {
            behind.remove(peer);
            return false;
        }
        Behind before = behind.getOrDefault(peer, new Behind(0, nowMillis - REPAIR_MILLIS));
        boolean due = nowMillis - before.repairedMillis() >= REPAIR_MILLIS;
        if (!due) {
            return false;
        }
        long repairers =
                (long) FIRST_REPAIRERS * (long) Math.pow(REPAIRERS_FACTOR, Math.min(before.times(), MOST_DOUBLINGS));
        behind.put(peer, new Behind(before.times() + 1, nowMillis));
        return rank(self, peer, settled) < repairers;
    }

    /**
     * Forgets a router that is no longer connected.
     *
     * @param peer its name
     */
    public void left(String peer) {
        peers.remove(peer);
        behind.remove(peer);
    }

    /** Number of connected routers that sort before this one and know what has settled. */
    private int rank(String self, String behindPeer, long settled) {
        int rank = 0;
        for (Map.Entry<String, Long> peer : peers.entrySet()) {
            boolean before = peer.getKey().compareTo(self) < 0 && !peer.getKey().equals(behindPeer);
            if (before && peer.getValue() >= settled) {
                rank++;
            }
        }
        return rank;
    }

    /** What this router knew some time ago; the others should know it by now. */
    private long settled(long nowMillis) {
        forget(nowMillis);
        Known oldest = own.peekFirst();
        return oldest != null && nowMillis - oldest.sinceMillis() >= ON_ITS_WAY_MILLIS
                ? oldest.knowledge()
                : Long.MIN_VALUE;
    }

    /** Keeps the newest entry that is old enough to have settled, and all that are newer. */
    private void forget(long nowMillis) {
        while (own.size() > 1) {
            Known first = own.removeFirst();
            if (nowMillis - own.peekFirst().sinceMillis() < ON_ITS_WAY_MILLIS) {
                own.addFirst(first);
                return;
            }
        }
    }

    private record Known(long knowledge, long sinceMillis) {}

    private record Behind(int times, long repairedMillis) {}
}
