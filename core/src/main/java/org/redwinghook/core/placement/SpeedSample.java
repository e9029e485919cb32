package org.redwinghook.core.placement;

/** Kind of duration from which the speed of an endpoint is learned. */
public enum SpeedSample {
    /** Time from the start of an attempt to the first event; varies with prompts that were cached or arrived since. */
    FIRST_EVENT(0.5),
    /** Time between events of a generation. */
    GAP(1),
    /** Time of a call that found a free slot. */
    CALL(1);

    private final double weight;

    SpeedSample(double weight) {
        this.weight = weight;
    }

    /** Weight of one sample beside those of other kinds. */
    double weight() {
        return weight;
    }
}
