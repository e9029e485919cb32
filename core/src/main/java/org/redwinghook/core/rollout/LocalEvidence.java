package org.redwinghook.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

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
    private static final long COMPARISON_MILLIS = 3_000;

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
            ToDoubleFunction<String> reported) {
        running.remove(attempt);
        if (end == AttemptEnd.NOT_RUN || attempt.markCounted()) {
            return false;
        }
        RouteCounts counts = routes.computeIfAbsent(attempt.route(), name -> new RouteCounts());
        boolean isSlow = counts.isSlow(attempt, nowMillis, reported);
        if (end == AttemptEnd.COMPLETED && !attempt.isNewVersion()) {
            counts.recordTimes(attempt, sinceStartMillis, nowMillis);
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

    /** Counts responses that are late already, since a version may never respond; returns whether there were any. */
    boolean countOverdue(long nowMillis, ToDoubleFunction<String> reported) {
        boolean found = false;
        for (ObservedAttempt attempt : List.copyOf(running)) {
            RouteCounts counts = routes.computeIfAbsent(attempt.route(), name -> new RouteCounts());
            if (counts.isSlow(attempt, nowMillis, reported) && !attempt.markCounted()) {
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

    List<RouteEvidence> routes(long nowMillis) {
        List<RouteEvidence> evidence = new ArrayList<>();
        routes.forEach((route, counts) -> evidence.add(counts.evidence(route, nowMillis)));
        return evidence;
    }

    private static final class RouteCounts {

        private final TypicalTime typical = new TypicalTime();
        private final TypicalTime typicalGap = new TypicalTime();
        private long requests;
        private long firstRequestMillis;
        private long longestRunMillis;
        private VersionCounts oldVersion = VersionCounts.NONE;
        private VersionCounts newVersion = VersionCounts.NONE;
        private long comparedAtMillis = Long.MIN_VALUE / 2;

        private void recordTimes(ObservedAttempt attempt, long sinceStartMillis, long nowMillis) {
            longestRunMillis = Math.max(longestRunMillis, sinceStartMillis);
            if (attempt.isCold()) {
                return;
            }
            comparedAtMillis = nowMillis;
            typical.record(attempt.responseMillis(nowMillis));
            if (attempt.meanGapMillis() > 0) {
                typicalGap.record(attempt.meanGapMillis());
            }
        }

        private boolean isSlow(ObservedAttempt attempt, long nowMillis, ToDoubleFunction<String> reported) {
            if (attempt.isCold()) {
                return false;
            }
            double expected = knownTypicalMillis(nowMillis);
            if (!typical.isSufficient()) {
                expected = Math.max(expected, reported.applyAsDouble(attempt.route()));
            }
            return exceeds(attempt.responseMillis(nowMillis), expected, nowMillis)
                    || exceeds(attempt.meanGapMillis(), typicalGap.millis(), nowMillis);
        }

        /** Typical time, 0 until slow responses have ended, too: the first ones to end are those of the fastest machines. */
        private double knownTypicalMillis(long nowMillis) {
            boolean isKnown = nowMillis - firstRequestMillis >= REPRESENTATIVE_TIMES * typical.millis();
            return isKnown ? typical.millis() : 0;
        }

        private boolean exceeds(double millis, double expected, long nowMillis) {
            boolean isCompared = nowMillis - comparedAtMillis <= COMPARISON_MILLIS;
            double factor = isCompared ? SLOW_FACTOR : SLOW_FACTOR_WITHOUT_COMPARISON;
            return expected > 0 && millis > factor * expected + TOLERANCE_MILLIS;
        }

        private void add(boolean isNewVersion, boolean isFailure, boolean isSlow) {
            VersionCounts one = new VersionCounts(1, isFailure ? 1 : 0, isSlow ? 1 : 0);
            if (isNewVersion) {
                newVersion = newVersion.plus(one);
            } else {
                oldVersion = oldVersion.plus(one);
            }
        }

        private RouteEvidence evidence(String route, long nowMillis) {
            return new RouteEvidence(
                    route,
                    requests,
                    oldVersion,
                    newVersion,
                    longestRunMillis,
                    knownTypicalMillis(nowMillis),
                    typicalGap.millis());
        }
    }
}
