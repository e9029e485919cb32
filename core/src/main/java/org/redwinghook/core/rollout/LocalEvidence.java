package org.redwinghook.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Evidence of one router about a version: how its responses end, and how long they take compared with those of the old
 * version on the same route at the same time. Times are milliseconds of a monotonic clock.
 */
final class LocalEvidence {

    /** Multiple of the old version's typical time from which a response is slow. */
    private static final double SLOW_FACTOR = 2.5;

    /** The same while the old version has no recent responses, because the load may have changed since. */
    private static final double SLOW_FACTOR_WITHOUT_COMPARISON = 5;

    /** Time by which a response may be late for other reasons than its version, in milliseconds. */
    private static final double TOLERANCE_MILLIS = 20;

    /** Age up to which the typical times of the old version are those of the same time, in milliseconds. */
    private static final long COMPARISON_MILLIS = 10_000;

    /** Typical times after the first request of a route from which the typical time is known. */
    private static final double REPRESENTATIVE_TIMES = 4;

    /** Time in which several broken connections of an endpoint count as one failure, in milliseconds. */
    private static final long SAME_BREAK_MILLIS = 1_000;

    private final Map<String, RouteCounts> routes = new HashMap<>();
    private final Set<ObservedAttempt> running = new HashSet<>();
    private final Map<String, Long> breakMillisByEndpoint = new HashMap<>();
    private long exposed;

    void recordRequest(String route, long nowMillis) {
        RouteCounts counts = routes.computeIfAbsent(route, name -> new RouteCounts());
        if (counts.requests == 0) {
            counts.firstRequestMillis = nowMillis;
        }
        counts.requests++;
    }

    void recordStart(ObservedAttempt attempt) {
        running.add(attempt);
        if (attempt.isNewVersion()) {
            exposed++;
        }
    }

    /** Records an end; returns whether it was a bad response of the new version. */
    boolean recordEnd(
            ObservedAttempt attempt,
            AttemptEnd end,
            long sinceStartMillis,
            long nowMillis,
            Function<String, OldVersionTimes> reported) {
        running.remove(attempt);
        if (end == AttemptEnd.NOT_RUN || attempt.markCounted()) {
            return false;
        }
        RouteCounts counts = routes.computeIfAbsent(attempt.route(), name -> new RouteCounts());
        OldVersionTimes comparison = counts.times.plus(reported.apply(attempt.route()));
        boolean isSlow = counts.isSlow(attempt, comparison, nowMillis);
        attempt.recordEnd(sinceStartMillis);
        if (end == AttemptEnd.COMPLETED && !attempt.isNewVersion()) {
            counts.recordTimes(attempt, sinceStartMillis, nowMillis);
        }
        if (end == AttemptEnd.COMPLETED && !isSlow && !counts.isComparable(comparison, nowMillis)) {
            counts.pending.add(attempt);
            return false;
        }
        boolean isFailure = end == AttemptEnd.FAILED || (end == AttemptEnd.BROKEN && !isSlow);
        if (!isSlow && (end == AttemptEnd.WITHDRAWN || (end == AttemptEnd.BROKEN && isSameBreak(attempt, nowMillis)))) {
            return false;
        }
        counts.add(attempt.isNewVersion(), isFailure, isSlow && !isFailure);
        return attempt.isNewVersion() && (isFailure || isSlow);
    }

    private boolean isSameBreak(ObservedAttempt attempt, long nowMillis) {
        Long before = breakMillisByEndpoint.put(attempt.endpoint(), nowMillis);
        return before != null && nowMillis - before < SAME_BREAK_MILLIS;
    }

    /** Records the duration of a run at the old version whose start was not observed. */
    void recordRun(String route, long millis) {
        RouteCounts counts = routes.computeIfAbsent(route, name -> new RouteCounts());
        counts.longestRunMillis = Math.max(counts.longestRunMillis, millis);
    }

    /**
     * Counts responses that are late already, since a version may never respond, and those that ended before times of the
     * old version were known.
     *
     * @param mayLackComparison whether to count the latter although such times are still not known
     * @return whether there were bad responses of the new version
     */
    boolean countOutstanding(boolean mayLackComparison, long nowMillis, Function<String, OldVersionTimes> reported) {
        boolean found = false;
        for (Map.Entry<String, RouteCounts> route : routes.entrySet()) {
            RouteCounts counts = route.getValue();
            OldVersionTimes comparison = counts.times.plus(reported.apply(route.getKey()));
            found |= counts.countPending(mayLackComparison, comparison, nowMillis);
        }
        for (ObservedAttempt attempt : List.copyOf(running)) {
            RouteCounts counts = routes.computeIfAbsent(attempt.route(), name -> new RouteCounts());
            OldVersionTimes comparison = counts.times.plus(reported.apply(attempt.route()));
            if (counts.isSlow(attempt, comparison, nowMillis) && !attempt.markCounted()) {
                counts.add(attempt.isNewVersion(), false, true);
                found |= attempt.isNewVersion();
            }
        }
        return found;
    }

    long exposed() {
        return exposed;
    }

    long requests() {
        return routes.values().stream().mapToLong(counts -> counts.requests).sum();
    }

    boolean hasRunning(boolean newVersion) {
        return running.stream().anyMatch(attempt -> attempt.isNewVersion() == newVersion);
    }

    List<RouteEvidence> routes() {
        List<RouteEvidence> evidence = new ArrayList<>();
        routes.forEach((route, counts) -> evidence.add(counts.evidence(route)));
        return evidence;
    }

    private static final class RouteCounts {

        private final List<ObservedAttempt> pending = new ArrayList<>();
        private long requests;
        private long firstRequestMillis;
        private long longestRunMillis;
        private VersionCounts oldVersion = VersionCounts.NONE;
        private VersionCounts newVersion = VersionCounts.NONE;
        private OldVersionTimes times = OldVersionTimes.NONE;

        private void recordTimes(ObservedAttempt attempt, long sinceStartMillis, long nowMillis) {
            longestRunMillis = Math.max(longestRunMillis, sinceStartMillis);
            if (attempt.isCold()) {
                return;
            }
            TimeSum gaps = attempt.meanGapMillis() > 0 ? TimeSum.NONE.plus(attempt.meanGapMillis()) : TimeSum.NONE;
            times = times.plus(
                    new OldVersionTimes(TimeSum.NONE.plus(attempt.responseMillis(nowMillis)), gaps, nowMillis));
        }

        /** Whether the typical time is known, also that of slow responses: the first to end are those of fast machines. */
        private boolean isComparable(OldVersionTimes comparison, long nowMillis) {
            double typical = comparison.responses().typicalMillis();
            return typical > 0 && nowMillis - firstRequestMillis >= REPRESENTATIVE_TIMES * typical;
        }

        private boolean isSlow(ObservedAttempt attempt, OldVersionTimes comparison, long nowMillis) {
            if (attempt.isCold() || !isComparable(comparison, nowMillis)) {
                return false;
            }
            boolean isRecent = nowMillis - comparison.newestAtMillis() <= COMPARISON_MILLIS;
            double factor = isRecent ? SLOW_FACTOR : SLOW_FACTOR_WITHOUT_COMPARISON;
            return exceeds(attempt.responseMillis(nowMillis), comparison.responses(), factor)
                    || exceeds(attempt.meanGapMillis(), comparison.gaps(), factor);
        }

        private static boolean exceeds(double millis, TimeSum expected, double factor) {
            double typical = expected.typicalMillis();
            return typical > 0 && millis > factor * typical + TOLERANCE_MILLIS;
        }

        private boolean countPending(boolean mayLackComparison, OldVersionTimes comparison, long nowMillis) {
            if (!mayLackComparison && !isComparable(comparison, nowMillis)) {
                return false;
            }
            boolean found = false;
            for (ObservedAttempt attempt : pending) {
                boolean isSlow = isSlow(attempt, comparison, nowMillis);
                add(attempt.isNewVersion(), false, isSlow);
                found |= isSlow && attempt.isNewVersion();
            }
            pending.clear();
            return found;
        }

        private void add(boolean isNewVersion, boolean isFailure, boolean isSlow) {
            VersionCounts one = new VersionCounts(1, isFailure ? 1 : 0, isSlow ? 1 : 0);
            if (isNewVersion) {
                newVersion = newVersion.plus(one);
            } else {
                oldVersion = oldVersion.plus(one);
            }
        }

        private RouteEvidence evidence(String route) {
            return new RouteEvidence(
                    route, requests, oldVersion, newVersion, longestRunMillis, times.responses(), times.gaps());
        }
    }
}
