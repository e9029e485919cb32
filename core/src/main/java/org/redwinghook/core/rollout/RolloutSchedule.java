package org.redwinghook.core.rollout;

/** When the phases of a roll-out begin, in milliseconds since the order. */
final class RolloutSchedule {

    /** Time before the end in which a status is written despite a failed call of the store, in milliseconds. */
    private static final long WRITE_MILLIS = 2_500;

    /** Further time before the end: 1/n of the duration, up to a maximum. */
    private static final long MARGIN_DIVISOR = 50;

    private static final long MAXIMUM_MARGIN_MILLIS = 3_000;

    /** Shortest trial: 1/n of the duration, up to a maximum. */
    private static final long SHORTEST_TRIAL_DIVISOR = 4;

    private static final long MAXIMUM_SHORTEST_TRIAL_MILLIS = 3_000;

    /** Longest run at the old version before any has ended, in milliseconds. */
    private static final long UNKNOWN_RUN_MILLIS = 2_000;

    /** Multiple of the longest run so far that the remaining ones hardly exceed. */
    private static final double RUN_FACTOR = 1.1;

    /** Part of the duration in which the share grows in steps before the shift. */
    private static final double STEPS_PART = 0.15;

    /** Time before the end at which a roll-out that is not complete is reverted, in milliseconds. */
    private static final long LAST_DECISION_MILLIS = 1_200;

    private final long durationMillis;
    private final int steps;

    RolloutSchedule(long durationMillis, int steps) {
        this.durationMillis = durationMillis;
        this.steps = steps;
    }

    /** Time from which the status that the roll-out is complete may be written. */
    long writeMillis() {
        return durationMillis - WRITE_MILLIS - Math.min(MAXIMUM_MARGIN_MILLIS, durationMillis / MARGIN_DIVISOR);
    }

    /** Latest time at which runs at the old version still end in time if nothing more is sent there. */
    long shiftMillis(long longestRunMillis) {
        long run = longestRunMillis == 0 ? UNKNOWN_RUN_MILLIS : (long) (RUN_FACTOR * longestRunMillis);
        long shortestTrial = Math.min(MAXIMUM_SHORTEST_TRIAL_MILLIS, durationMillis / SHORTEST_TRIAL_DIVISOR);
        return Math.max(shortestTrial, writeMillis() - run);
    }

    /** Step between the trial (0) and the full share, which begins at the shift. */
    int step(long elapsedMillis, long shiftMillis) {
        double stepsMillis = STEPS_PART * durationMillis;
        double sinceFirst = elapsedMillis - (shiftMillis - stepsMillis);
        if (sinceFirst < 0 || steps == 0) {
            return 0;
        }
        return (int) Math.min(steps, 1 + Math.floor(sinceFirst / stepsMillis * steps));
    }

    double shareOfStep(int step) {
        return (double) step / (steps + 1);
    }

    long lastDecisionMillis() {
        return durationMillis - Math.min(LAST_DECISION_MILLIS, durationMillis / SHORTEST_TRIAL_DIVISOR);
    }
}
