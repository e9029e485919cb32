package org.redwinghook.core.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Speeds that other routers have learned. The result does not depend on the order in which reports arrive or whether they
 * are repeated. Times are milliseconds of a monotonic clock.
 */
final class PeerSpeeds {

    /**
     * Age at which a report is forgotten; its weight falls evenly until then. Longer than two renewals, and short enough
     * that an endpoint which all routers avoid as slow is tried again.
     */
    private static final long MAXIMUM_AGE_MILLIS = 100_000;

    /** Largest number of routers whose reports are kept for an endpoint, the first ones by name; more hardly help. */
    private static final int MAXIMUM_ROUTERS = 16;

    /** Largest number of endpoints that are kept, which bounds the memory if reports name endpoints that do not exist. */
    private static final int MAXIMUM_INSTANCES = 2_000;

    /** Largest weight of a report, in observations. */
    private static final int MAXIMUM_OBSERVATIONS = 21;

    private static final double TYPICAL_PERCENT = 100;

    private final Map<Integer, TreeMap<String, Report>> reportsByInstance = new HashMap<>();

    /**
     * Adds a report of another router.
     *
     * @param router name of the router
     * @param sequence number of its report, higher in later ones
     * @param speed what it has learned
     * @param nowMillis current time
     */
    void merge(String router, long sequence, SharedSpeed speed, long nowMillis) {
        if (speed.percent() <= 0 || speed.observations() <= 0) {
            return;
        }
        TreeMap<String, Report> reports = reportsByInstance.get(speed.instance());
        if (reports == null) {
            if (reportsByInstance.size() >= MAXIMUM_INSTANCES) {
                return;
            }
            reports = new TreeMap<>();
            reportsByInstance.put(speed.instance(), reports);
        }
        Report before = reports.get(router);
        if (before != null && before.sequence >= sequence) {
            return;
        }
        double logSlowdown = Math.log(Slowdown.limit(speed.percent() / TYPICAL_PERCENT));
        int observations = Math.min(MAXIMUM_OBSERVATIONS, speed.observations());
        reports.put(router, new Report(sequence, logSlowdown, observations, nowMillis));
        if (reports.size() > MAXIMUM_ROUTERS) {
            reports.pollLastEntry();
        }
    }

    private Map<String, Report> reportsOf(int instance) {
        Map<String, Report> reports = reportsByInstance.get(instance);
        return reports == null ? Map.of() : reports;
    }

    /** Adds the reports on an endpoint to a mean and returns their number. */
    int addTo(WeightedMean mean, int instance, long nowMillis) {
        Map<String, Report> reports = reportsOf(instance);
        for (Report report : reports.values()) {
            double age = Math.max(0, nowMillis - report.receivedAtMillis);
            mean.add(report.logSlowdown, report.observations * Math.max(0, 1 - age / MAXIMUM_AGE_MILLIS));
        }
        return reports.size();
    }

    void removeExpired(long nowMillis) {
        Iterator<TreeMap<String, Report>> iterator = reportsByInstance.values().iterator();
        while (iterator.hasNext()) {
            Map<String, Report> reports = iterator.next();
            reports.values().removeIf(report -> nowMillis - report.receivedAtMillis > MAXIMUM_AGE_MILLIS);
            if (reports.isEmpty()) {
                iterator.remove();
            }
        }
    }

    /** A report of one router on one endpoint. */
    private record Report(long sequence, double logSlowdown, int observations, long receivedAtMillis) {}
}
