package org.redwinghook.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/** Evidence of the other routers, merged in any order. Times are milliseconds of a monotonic clock. */
final class MergedEvidence {

    /** Starts of one router that are kept; more during one roll-out replace the oldest. */
    private static final int MAXIMUM_INCARNATIONS = 8;

    private final Map<String, TreeMap<Long, RouterEvidence>> evidence = new HashMap<>();
    private final Map<String, Long> receivedMillis = new HashMap<>();
    private final Map<String, OldVersionTimes> timesByRoute = new HashMap<>();
    private long exposed;
    private long requests;
    private long newVersionBad;

    /** Merges a report; returns whether it was newer than what was known. */
    boolean merge(RouterEvidence report, long nowMillis) {
        TreeMap<Long, RouterEvidence> ofRouter = evidence.computeIfAbsent(report.router(), name -> new TreeMap<>());
        RouterEvidence known = ofRouter.get(report.incarnation());
        if (known != null && known.sequence() >= report.sequence()) {
            return false;
        }
        add(report, 1);
        if (known != null) {
            add(known, -1);
        }
        ofRouter.put(report.incarnation(), report);
        if (ofRouter.size() > MAXIMUM_INCARNATIONS) {
            add(ofRouter.pollFirstEntry().getValue(), -1);
        }
        if (newest(report.router()) == report) {
            receivedMillis.put(report.router(), nowMillis);
        }
        return true;
    }

    /** Newest report of a router, null if none has been received. */
    @Nullable
    RouterEvidence newest(String router) {
        TreeMap<Long, RouterEvidence> ofRouter = evidence.get(router);
        return ofRouter == null || ofRouter.isEmpty()
                ? null
                : ofRouter.lastEntry().getValue();
    }

    /** Time since the newest report of a router, a large value if there is none. */
    long ageMillis(String router, long nowMillis) {
        return nowMillis - receivedMillis.getOrDefault(router, Long.MIN_VALUE / 2);
    }

    Collection<RouterEvidence> newestOfAll() {
        return evidence.keySet().stream().map(this::newest).toList();
    }

    private void add(RouterEvidence report, int sign) {
        exposed += sign * report.exposed();
        requests += sign * report.requests();
        for (RouteEvidence counts : report.routes()) {
            newVersionBad += sign * counts.newVersion().bad();
        }
    }

    long exposed() {
        return exposed;
    }

    long requests() {
        return requests;
    }

    /** Bad responses of the new version. */
    long newVersionBad() {
        return newVersionBad;
    }

    /** Updates the times of the old version to the newest reports. */
    void refreshTimes(long nowMillis) {
        Map<String, OldVersionTimes> before = Map.copyOf(timesByRoute);
        timesByRoute.clear();
        for (RouterEvidence report : all()) {
            for (RouteEvidence counts : report.routes()) {
                OldVersionTimes times =
                        new OldVersionTimes(counts.responseTimes(), counts.gapTimes(), Long.MIN_VALUE / 2);
                timesByRoute.merge(counts.route(), times, OldVersionTimes::plus);
            }
        }
        timesByRoute.replaceAll((route, times) -> {
            OldVersionTimes known = before.getOrDefault(route, OldVersionTimes.NONE);
            boolean isNewer = times.responses().times() > known.responses().times();
            return new OldVersionTimes(times.responses(), times.gaps(), isNewer ? nowMillis : known.newestAtMillis());
        });
    }

    /** Times of the old version on a route according to the other routers. */
    OldVersionTimes times(String route) {
        return timesByRoute.getOrDefault(route, OldVersionTimes.NONE);
    }

    /** Evidence of all routers by route. */
    Map<String, RouteEvidence> total(List<RouteEvidence> own) {
        Map<String, RouteEvidence> total = new TreeMap<>();
        own.forEach(counts -> total.merge(counts.route(), counts, RouteEvidence::plus));
        for (RouterEvidence report : all()) {
            report.routes().forEach(counts -> total.merge(counts.route(), counts, RouteEvidence::plus));
        }
        return total;
    }

    private List<RouterEvidence> all() {
        return evidence.values().stream()
                .flatMap(ofRouter -> ofRouter.values().stream())
                .toList();
    }
}
