package org.redwinghook.core.forward;

import org.jspecify.annotations.Nullable;

/**
 * Moving mean of a duration and of its deviation.
 *
 * @param mean the mean
 * @param deviation mean absolute deviation from it
 */
record DurationEstimate(double mean, double deviation) {

    /** Weight of a new duration in the mean, and of its deviation in the mean deviation. */
    private static final double NEW_WEIGHT = 0.05;

    /**
     * Adds a duration.
     *
     * @param before estimate so far, null if there is none
     * @param value the duration
     * @return the new estimate
     */
    static DurationEstimate add(@Nullable DurationEstimate before, double value) {
        if (before == null) {
            return new DurationEstimate(value, Math.abs(value) / 2);
        }
        double difference = value - before.mean;
        double deviation = before.deviation + NEW_WEIGHT * (Math.abs(difference) - before.deviation);
        return new DurationEstimate(before.mean + NEW_WEIGHT * difference, deviation);
    }

    /**
     * Value that few durations exceed.
     *
     * @param deviations its distance from the mean, in mean deviations
     * @return the value
     */
    double upperBound(double deviations) {
        return mean + deviations * deviation;
    }
}
