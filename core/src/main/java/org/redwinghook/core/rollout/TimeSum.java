package org.redwinghook.core.rollout;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Sum of times of which only the typical value matters: their geometric mean, on which a few very long ones have little
 * influence. Sums of several routers add up.
 *
 * @param times number of times
 * @param logSum sum of the natural logarithms of the times in milliseconds
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TimeSum(long times, double logSum) {

    /** No times. */
    public static final TimeSum NONE = new TimeSum(0, 0);

    /** Times from which the typical value is known. */
    private static final int MINIMUM_TIMES = 3;

    TimeSum plus(TimeSum other) {
        return new TimeSum(times + other.times, logSum + other.logSum);
    }

    TimeSum plus(double millis) {
        return new TimeSum(times + 1, logSum + Math.log(Math.max(1, millis)));
    }

    /**
     * Typical time.
     *
     * @return the time in milliseconds, 0 if too few are known
     */
    @JsonIgnore
    double typicalMillis() {
        return times < MINIMUM_TIMES ? 0 : Math.exp(logSum / times);
    }
}
