package org.redwinghook.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.routing.RendezvousHash;

/**
 * Learns how long work takes at each endpoint instance, relative to the typical endpoint of its service. Load: engines of
 * one service differ by more than two times, each is 2.5 times slower for 15% of the time, and the expected durations
 * are wrong by up to two times for all of them. Each kind of duration is compared with its median over the endpoints of
 * the service, so an error that concerns all of them has no effect. Slowdowns are computed by {@link #refresh}, which
 * takes time in proportion to the endpoints, and are constant in between. Times are milliseconds of a monotonic clock.
 * Confined to one event loop.
 */
public final class EndpointSpeeds {

    /**
     * Number of observations that weigh as much as the assumption that an endpoint is typical. One has a seventeenth of
     * the weight, since it may be an outlier; twelve have nine tenths.
     */
    private static final double TYPICAL_WEIGHT = 4;

    /**
     * Weight of a connected router that has not reported an endpoint, in observations: it may have found it typical, and
     * routers with few observations report mostly outliers.
     */
    private static final double SILENT_ROUTER_WEIGHT = 1;

    /** Logarithm of a slowdown up to which an endpoint counts as typical; the noise of equal endpoints is below it. */
    private static final double NOISE_LOG = 0.15;

    /** Logarithm of a slowdown from which it counts in full. */
    private static final double SIGNIFICANT_LOG = 0.3;

    /** Number of samples from which an endpoint counts for the typical duration of its service. */
    private static final int MINIMUM_SAMPLES = 2;

    /** Number of observations, weighted by age, from which a slowdown is shared with other routers. */
    private static final double MINIMUM_SHARED_OBSERVATIONS = 0.8;

    /** Difference of the logarithm from which a slowdown is shared again; twice as much with a single observation. */
    private static final double SHARED_CHANGE_LOG = 0.25;

    /** Time after which a shared slowdown is repeated although it has not changed, in milliseconds. */
    private static final long RENEWAL_MILLIS = 40_000;

    private static final double TYPICAL_PERCENT = 100;

    private final Map<String, Learned> learnedByInstance = new HashMap<>();
    private final Map<Integer, Double> slowdownByKey = new HashMap<>();
    private final PeerSpeeds peerSpeeds = new PeerSpeeds();

    /**
     * Key of an endpoint instance in messages, which is shorter than its identifier.
     *
     * @param instance identifier of the instance
     * @return the key; two of 600 instances have the same with a probability of one in twenty thousand
     */
    public static int key(String instance) {
        return (int) RendezvousHash.hash(instance);
    }

    /**
     * Records a duration.
     *
     * @param instance identifier of the endpoint instance
     * @param service its service
     * @param kind kind of the duration
     * @param ratio duration divided by the expected one at a usual endpoint with the same load
     * @param nowMillis current time
     */
    public void record(String instance, String service, SpeedSample kind, double ratio, long nowMillis) {
        if (!(ratio > 0) || Double.isInfinite(ratio)) {
            return;
        }
        learnedByInstance
                .computeIfAbsent(instance, id -> new Learned(service, key(id)))
                .ratiosByKind
                .computeIfAbsent(kind, ignored -> new RecentRatios())
                .add(ratio, nowMillis);
    }

    /**
     * Merges what another router has learned.
     *
     * @param router name of the router
     * @param sequence number of its report, higher in later ones
     * @param speeds the speeds
     * @param nowMillis current time
     */
    public void merge(String router, long sequence, List<SharedSpeed> speeds, long nowMillis) {
        speeds.forEach(speed -> peerSpeeds.merge(router, sequence, speed, nowMillis));
    }

    /**
     * Computes the slowdowns from the durations and reports so far, without those that are too old.
     *
     * @param instances identifiers of the listed endpoint instances
     * @param connectedRouters number of routers that would report unusual endpoints to this one
     * @param nowMillis current time
     */
    public void refresh(Iterable<String> instances, int connectedRouters, long nowMillis) {
        peerSpeeds.removeExpired(nowMillis);
        learnedByInstance.values().removeIf(learned -> learned.removeExpired(nowMillis) == 0);
        Map<String, Map<SpeedSample, Double>> typicalByService = typicalLogs();
        for (Learned learned : learnedByInstance.values()) {
            learned.compare(typicalByService.getOrDefault(learned.service, Map.of()), nowMillis);
        }
        slowdownByKey.clear();
        for (String instance : instances) {
            Learned learned = learnedByInstance.get(instance);
            int key = learned == null ? key(instance) : learned.key;
            WeightedMean mean = new WeightedMean();
            int reports = peerSpeeds.addTo(mean, key, nowMillis);
            double silence = Math.max(0, connectedRouters - reports) * SILENT_ROUTER_WEIGHT;
            double silentWeight = Math.min(silence, mean.weight());
            if (learned != null) {
                mean.add(learned.logSlowdown, learned.observations);
            }
            double typicalWeight = TYPICAL_WEIGHT * TYPICAL_WEIGHT / Math.max(1, mean.weight());
            double logSlowdown = withoutNoise(mean.towardsZero(silentWeight + typicalWeight));
            if (logSlowdown != 0) {
                slowdownByKey.put(key, Slowdown.limit(Math.exp(logSlowdown)));
            }
        }
    }

    /** Median duration of each kind over the endpoints of each service. */
    private Map<String, Map<SpeedSample, Double>> typicalLogs() {
        Map<String, Map<SpeedSample, List<Double>>> logs = new HashMap<>();
        for (Learned learned : learnedByInstance.values()) {
            Map<SpeedSample, List<Double>> ofService =
                    logs.computeIfAbsent(learned.service, ignored -> new EnumMap<>(SpeedSample.class));
            learned.ratiosByKind.forEach((kind, ratios) -> {
                if (ratios.size() >= MINIMUM_SAMPLES) {
                    ofService
                            .computeIfAbsent(kind, ignored -> new ArrayList<>())
                            .add(ratios.median());
                }
            });
        }
        Map<String, Map<SpeedSample, Double>> typical = new HashMap<>();
        logs.forEach((service, byKind) -> {
            Map<SpeedSample, Double> medians = new EnumMap<>(SpeedSample.class);
            byKind.forEach((kind, values) -> medians.put(kind, median(values)));
            typical.put(service, medians);
        });
        return typical;
    }

    private static double median(List<Double> values) {
        values.sort(Comparator.naturalOrder());
        return (values.get((values.size() - 1) / 2) + values.get(values.size() / 2)) / 2;
    }

    /** Endpoints that hardly differ keep the usual slowdown, so that placement among them does not follow the noise. */
    private static double withoutNoise(double logSlowdown) {
        double part = (Math.abs(logSlowdown) - NOISE_LOG) / (SIGNIFICANT_LOG - NOISE_LOG);
        return logSlowdown * Math.max(0, Math.min(1, part));
    }

    /**
     * Learned slowdown of an endpoint at the last refresh.
     *
     * @param instance identifier of the endpoint instance
     * @return the factor, {@link Candidate#USUAL_SLOWDOWN} if nothing is known
     */
    public double slowdown(String instance) {
        if (slowdownByKey.isEmpty()) {
            return Candidate.USUAL_SLOWDOWN;
        }
        Learned learned = learnedByInstance.get(instance);
        return slowdownByKey.getOrDefault(learned == null ? key(instance) : learned.key, Candidate.USUAL_SLOWDOWN);
    }

    /**
     * What this router has learned and other routers do not know yet, and counts as shared from now on.
     *
     * @param limit largest number of endpoints
     * @param nowMillis current time
     * @return the largest changes
     */
    public List<SharedSpeed> takeChanges(int limit, long nowMillis) {
        List<Learned> changed = new ArrayList<>();
        for (Learned learned : learnedByInstance.values()) {
            if (learned.isWorthSharing(nowMillis)) {
                changed.add(learned);
            }
        }
        changed.sort(Comparator.comparingDouble(learned -> -learned.unsharedChange()));
        return changed.stream()
                .limit(limit)
                .map(learned -> learned.share(nowMillis))
                .toList();
    }

    /**
     * What this router has shared, for a router that connects.
     *
     * @param limit largest number of endpoints
     * @return endpoints that are not typical
     */
    public List<SharedSpeed> shared(int limit) {
        return learnedByInstance.values().stream()
                .filter(learned -> Math.abs(learned.sharedLog) >= SHARED_CHANGE_LOG)
                .limit(limit)
                .map(Learned::toShared)
                .toList();
    }

    /** What this router has learned about an endpoint. */
    private static final class Learned {

        private final String service;
        private final int key;
        private final Map<SpeedSample, RecentRatios> ratiosByKind = new EnumMap<>(SpeedSample.class);
        private double logSlowdown;
        private double observations;
        private double sharedLog;
        private long sharedAtMillis = Long.MIN_VALUE / 2;

        Learned(String service, int key) {
            this.service = service;
            this.key = key;
        }

        /** Removes durations that are too old and returns the number of others. */
        int removeExpired(long nowMillis) {
            int remaining = 0;
            for (RecentRatios ratios : ratiosByKind.values()) {
                remaining += ratios.removeExpired(nowMillis);
            }
            return remaining;
        }

        void compare(Map<SpeedSample, Double> typicalLogs, long nowMillis) {
            WeightedMean mean = new WeightedMean();
            ratiosByKind.forEach((kind, ratios) -> {
                Double typical = typicalLogs.get(kind);
                if (typical != null) {
                    mean.add(ratios.median() - typical, ratios.weight(nowMillis) * kind.weight());
                }
            });
            logSlowdown = mean.towardsZero(0);
            observations = mean.weight();
        }

        boolean isWorthSharing(long nowMillis) {
            if (observations < MINIMUM_SHARED_OBSERVATIONS) {
                return false;
            }
            boolean isRenewal =
                    Math.abs(logSlowdown) >= SHARED_CHANGE_LOG && nowMillis - sharedAtMillis >= RENEWAL_MILLIS;
            return isRenewal || unsharedChange() >= SHARED_CHANGE_LOG * (1 + 1 / observations);
        }

        double unsharedChange() {
            return Math.abs(logSlowdown - sharedLog);
        }

        SharedSpeed share(long nowMillis) {
            sharedLog = logSlowdown;
            sharedAtMillis = nowMillis;
            return toShared();
        }

        SharedSpeed toShared() {
            double percent = TYPICAL_PERCENT * Slowdown.limit(Math.exp(sharedLog));
            return new SharedSpeed(key, (int) Math.round(percent), (int) Math.max(1, Math.round(observations)));
        }
    }
}
