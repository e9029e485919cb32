package org.redwinghook.core.usage;

/**
 * Counts of generations, calls and tokens.
 *
 * @param generations generations that ended, completed or interrupted
 * @param interrupted generations that ended early
 * @param calls calls that were answered or whose outcome is unknown
 * @param inputTokens tokens of prompts
 * @param outputTokens tokens generated or delivered
 */
public record UsageCounts(long generations, long interrupted, long calls, long inputTokens, long outputTokens) {

    /** All counts are zero. */
    public static final UsageCounts ZERO = new UsageCounts(0, 0, 0, 0, 0);

    /**
     * Counts of a completed generation.
     *
     * @param inputTokens tokens of its prompt
     * @param outputTokens tokens of its output
     * @return the counts
     */
    public static UsageCounts generation(long inputTokens, long outputTokens) {
        return new UsageCounts(1, 0, 0, inputTokens, outputTokens);
    }

    /**
     * Counts of an interrupted generation.
     *
     * @param inputTokens tokens of its prompt
     * @param outputTokens tokens up to its end
     * @return the counts
     */
    public static UsageCounts interruption(long inputTokens, long outputTokens) {
        return new UsageCounts(1, 1, 0, inputTokens, outputTokens);
    }

    /**
     * Counts of a call.
     *
     * @return the counts
     */
    public static UsageCounts call() {
        return new UsageCounts(0, 0, 1, 0, 0);
    }

    /**
     * Sum of two counts.
     *
     * @param other the other counts
     * @return the sum
     */
    public UsageCounts plus(UsageCounts other) {
        return new UsageCounts(
                generations + other.generations,
                interrupted + other.interrupted,
                calls + other.calls,
                inputTokens + other.inputTokens,
                outputTokens + other.outputTokens);
    }
}
