package org.redwinghook.core.placement;

import java.util.OptionalDouble;

/**
 * Expected duration of an attempt, with which the real one is compared. The load of the endpoint is part of the expectation,
 * so an endpoint that is slow only under load is as expected.
 *
 * @param predictedMillis expected time to the first event or the response, in milliseconds
 * @param usualWorkMillis the same at an endpoint of usual speed and without network latency, in milliseconds
 * @param latencyMillis network latency, in milliseconds
 * @param comparable whether the duration says something about the speed of the endpoint: requests may wait at a full endpoint
 *     and are slow at a cold one
 */
public record ExpectedDuration(
        double predictedMillis, double usualWorkMillis, double latencyMillis, boolean comparable) {

    /** Shortest expected duration to learn from, in milliseconds; shorter ones are mostly time on the network. */
    private static final double MINIMUM_LEARNED_MILLIS = 20;

    /**
     * Expected duration at an endpoint.
     *
     * @param policy how the request is placed
     * @param candidate the endpoint before the attempt
     * @param query size of the request
     * @return the expectation
     */
    public static ExpectedDuration of(PlacementPolicy policy, Candidate candidate, PlacementQuery query) {
        double latency = candidate.distance().latencyMillis();
        Candidate usual = candidate.withSlowdown(Candidate.USUAL_SLOWDOWN);
        return new ExpectedDuration(
                policy.estimate(candidate, query).firstResultMillis(),
                policy.estimate(usual, query).firstResultMillis() - latency,
                latency,
                !policy.isFull(candidate, query) && !candidate.cold());
    }

    /**
     * Compares a real duration with that at an endpoint of usual speed.
     *
     * @param millis the real duration
     * @return their ratio, empty if it says nothing about the speed of the endpoint
     */
    public OptionalDouble ratioToUsual(long millis) {
        if (!comparable || usualWorkMillis < MINIMUM_LEARNED_MILLIS) {
            return OptionalDouble.empty();
        }
        return OptionalDouble.of(Math.max(1, millis - latencyMillis) / usualWorkMillis);
    }
}
