package org.redwinghook.core.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how long the calls of each service take. Load: a stop under load, in which the timeout of a route is many times
 * the duration of nearly all of its calls.
 */
public final class CallDurations {

    /** Mean deviations above the mean that nearly no call exceeds. */
    private static final double DEVIATIONS = 6;

    private final Map<String, DurationEstimate> estimates = new HashMap<>();

    /**
     * Records a call that ended.
     *
     * @param service name of the service
     * @param millis duration, in milliseconds
     */
    public void record(String service, long millis) {
        estimates.compute(service, (name, before) -> DurationEstimate.add(before, millis));
    }

    /**
     * Duration of a typical call of a service.
     *
     * @param service name of the service
     * @param unknownMillis duration assumed before any call has ended
     * @return the duration in milliseconds
     */
    public double typicalMillis(String service, double unknownMillis) {
        DurationEstimate estimate = estimates.get(service);
        return estimate == null ? unknownMillis : estimate.mean();
    }

    /**
     * Duration that nearly no call of a service exceeds.
     *
     * @param service name of the service
     * @param unknownMillis duration assumed before any call has ended
     * @return the duration in milliseconds
     */
    public double longestMillis(String service, double unknownMillis) {
        DurationEstimate estimate = estimates.get(service);
        return estimate == null ? unknownMillis : estimate.upperBound(DEVIATIONS);
    }
}
