package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.redwinghook.core.routing.RendezvousHash;

/**
 * Decides which engines' reports this router reads now. Each report is billed, so one router reads the report of an
 * engine. Load: up to 600 engines during a fault of the store, shared by the connected routers. Times are milliseconds of
 * a monotonic clock. Confined to one event loop.
 */
public final class ReportSchedule {

    /** Interval of the reports of an engine, in milliseconds; a quarter of the shortest notice. */
    public static final long READ_INTERVAL_MILLIS = 400;

    /** Interval of reports that are read without a fault of the store, in milliseconds. */
    public static final long SPARSE_INTERVAL_MILLIS = 2_000;

    /** Pause that doubles with each read of an engine that seems to leave but does not, in milliseconds. */
    private static final long FIRST_TRIGGER_PAUSE_MILLIS = SPARSE_INTERVAL_MILLIS / 4;

    /** Longest pause between two reads of an engine that seems to leave but does not, in milliseconds. */
    private static final long MAXIMUM_TRIGGER_PAUSE_MILLIS = 60_000;

    /** Maximum number of reports that a router reads in a second. */
    public static final int MAXIMUM_READS_PER_SECOND = 40;

    private static final long SECOND_MILLIS = 1_000;

    private final String self;
    private final Map<String, Long> readMillisByEngine = new HashMap<>();
    private final Map<String, Long> triggerPauseMillisByEngine = new HashMap<>();
    private final Map<String, Boolean> assignments = new HashMap<>();
    private Set<String> routers = Set.of();
    private long secondBeganMillis = Long.MIN_VALUE / 2;
    private int readsInSecond;

    /**
     * Creates a schedule.
     *
     * @param self name of this router
     */
    public ReportSchedule(String self) {
        this.self = self;
    }

    /**
     * Chooses the engines whose reports are due at this router, and records that they are read.
     *
     * @param engines starts of the engines in question
     * @param connectedRouters names of the connected routers
     * @param intervalMillis interval of the reports of an engine, in milliseconds
     * @param nowMillis current time
     * @return the engines, the one that was read least recently first
     */
    public List<String> takeDue(
            Collection<String> engines, Set<String> connectedRouters, long intervalMillis, long nowMillis) {
        if (!connectedRouters.equals(routers)) {
            routers = Set.copyOf(connectedRouters);
            assignments.clear();
        }
        List<String> due = new ArrayList<>();
        for (String engine : engines) {
            if (nowMillis - lastReadMillis(engine) >= intervalMillis
                    && assignments.computeIfAbsent(engine, this::isAssignedToSelf)) {
                due.add(engine);
            }
        }
        due.sort(Comparator.comparingLong(this::lastReadMillis));
        due.removeIf(engine -> !take(engine, nowMillis));
        return due;
    }

    /**
     * Takes a read of an engine that seems to leave, whichever router usually reads its reports.
     *
     * @param engine start of the engine
     * @param nowMillis current time
     * @return false if its report was read recently, or too many reports were
     */
    public boolean tryTake(String engine, long nowMillis) {
        long pauseMillis = triggerPauseMillisByEngine.getOrDefault(engine, FIRST_TRIGGER_PAUSE_MILLIS);
        if (nowMillis - lastReadMillis(engine) < Math.max(SPARSE_INTERVAL_MILLIS, pauseMillis)
                || !take(engine, nowMillis)) {
            return false;
        }
        // An engine that closes each connection, or cannot be reached, is not read for ever at the same pace.
        triggerPauseMillisByEngine.put(engine, Math.min(2 * pauseMillis, MAXIMUM_TRIGGER_PAUSE_MILLIS));
        return true;
    }

    /**
     * Forgets engines that are no longer listed.
     *
     * @param listed the listed starts of engines
     */
    public void retain(Set<String> listed) {
        readMillisByEngine.keySet().retainAll(listed);
        triggerPauseMillisByEngine.keySet().retainAll(listed);
        assignments.keySet().retainAll(listed);
    }

    private long lastReadMillis(String engine) {
        return readMillisByEngine.getOrDefault(engine, Long.MIN_VALUE / 2);
    }

    private boolean take(String engine, long nowMillis) {
        if (nowMillis - secondBeganMillis >= SECOND_MILLIS) {
            secondBeganMillis = nowMillis;
            readsInSecond = 0;
        }
        if (readsInSecond >= MAXIMUM_READS_PER_SECOND) {
            return false;
        }
        readsInSecond++;
        readMillisByEngine.put(engine, nowMillis);
        return true;
    }

    private boolean isAssignedToSelf(String engine) {
        long key = RendezvousHash.hash(engine);
        long ownScore = RendezvousHash.score(key, self);
        for (String router : routers) {
            long score = RendezvousHash.score(key, router);
            if (score > ownScore || (score == ownScore && router.compareTo(self) < 0)) {
                return false;
            }
        }
        return true;
    }
}
