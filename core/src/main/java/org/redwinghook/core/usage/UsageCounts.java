package org.redwinghook.core.usage;

/**
 * Counts of work.
 *
 * @param generations generations that ended, whole or not
 * @param interrupted those of them that ended early
 * @param calls calls that were answered or whose outcome is unknown
 * @param inputTokens tokens of prompts
 * @param outputTokens tokens generated or delivered
 */
public record UsageCounts(long generations, long interrupted, long calls, long inputTokens, long outputTokens) {

    /** No work. */
    public static final UsageCounts ZERO = new UsageCounts(0, 0, 0, 0, 0);

    /**
     * Counts of a generation that ended whole.
     *
     * @param inputTokens tokens of its prompt
     * @param outputTokens its tokens
     * @return the counts
     */
    public static UsageCounts generation(long inputTokens, long outputTokens) {
        return new UsageCounts(1, 0, 0, inputTokens, outputTokens);
    }

    /**
     * Counts of a generation that ended early.
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
     * @param other the other
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
