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

    /** Time of a decoding step with one generation, and the time that each running one adds, in milliseconds. */
    private static final double MILLIS_PER_DECODING_STEP = 7;

    private static final double MILLIS_PER_DECODING_STEP_AND_GENERATION = 0.12;

    /** Output tokens per event; from the engines' data sheet. A decoding step yields one token of each generation. */
    private static final double TOKENS_PER_EVENT = 4;

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

    /**
     * Time between two events of a generation.
     *
     * @param running number of generations that run at the engine
     * @return the time in milliseconds
     */
    public static double eventGapMillis(int running) {
        return TOKENS_PER_EVENT * (MILLIS_PER_DECODING_STEP + running * MILLIS_PER_DECODING_STEP_AND_GENERATION);
    }

    /**
     * Number of events of an output by the data sheet.
     *
     * @param tokens length of the output, in tokens
     * @return the number, with a part of an event for the last tokens
     */
    public static double events(long tokens) {
        return tokens / TOKENS_PER_EVENT;
    }
}
