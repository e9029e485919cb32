package org.redwinghook.core.placement;

/** Speed of an engine under usual load. */
public final class EngineSpeed {

    /**
     * Prompt tokens that an engine prefills per millisecond beside running generations: half of the data sheet's 14,
     * since prompts are prefilled in chunks, and each chunk waits for a decoding step of about its own length.
     */
    private static final double PREFILL_TOKENS_PER_MILLI = 7;

    /** Time per output token, in milliseconds; from the data sheet. */
    private static final double MILLIS_PER_OUTPUT_TOKEN = 8;

    private EngineSpeed() {}

    /**
     * Time to prefill prompts one after another.
     *
     * @param tokens length of the prompts, in tokens
     * @return the time in milliseconds
     */
    public static double prefillMillis(long tokens) {
        return tokens / PREFILL_TOKENS_PER_MILLI;
    }

    /**
     * Time to generate output.
     *
     * @param tokens length of the output, in tokens
     * @return the time in milliseconds
     */
    public static double outputMillis(long tokens) {
        return tokens * MILLIS_PER_OUTPUT_TOKEN;
    }
}
