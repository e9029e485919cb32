package org.redwinghook.standins.engine;

/**
 * Settings of the engine stand-in.
 *
 * @param seed determines, with the prompt, the length and the words of an output
 * @param medianTokens median of the natural lengths of outputs
 * @param timing duration of decoding steps and maximum size of the batch
 * @param memory memory sizes
 * @param coldStart behaviour after the start
 * @param reporting delays and gaps in what the engine reports
 * @param graceMillis time for which a generation without a stream continues, and for which a finished one can be read
 *     again
 * @param restartMillis time for which a crashed engine refuses connections
 * @param commandMillis time until a command is applied
 * @param checksFencing whether commands with an outdated fencing number are refused
 */
public record EngineSettings(
        long seed,
        int medianTokens,
        EngineTiming timing,
        EngineMemory memory,
        ColdStart coldStart,
        EngineReporting reporting,
        long graceMillis,
        long restartMillis,
        long commandMillis,
        boolean checksFencing) {

    /** Default settings: an engine that starts warm and checks fencing numbers. */
    public static final EngineSettings DEFAULT = new EngineSettings(
            1,
            60,
            EngineTiming.DEFAULT,
            EngineMemory.DEFAULT,
            ColdStart.NONE,
            EngineReporting.DEFAULT,
            10_000,
            1_000,
            100,
            true);

    /**
     * Replaces the timing.
     *
     * @param value the new timing
     * @return the new settings
     */
    public EngineSettings withTiming(EngineTiming value) {
        return new EngineSettings(
                seed,
                medianTokens,
                value,
                memory,
                coldStart,
                reporting,
                graceMillis,
                restartMillis,
                commandMillis,
                checksFencing);
    }
}
