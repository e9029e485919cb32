package org.redwinghook.standins.engine;

/**
 * Settings of an engine.
 *
 * @param seed with the prompt determines length and words of an output
 * @param medianTokens median of the natural lengths of outputs
 * @param timing time of decoding steps
 * @param memory memory
 * @param coldStart behaviour after the start
 * @param reporting lags and gaps of reports
 * @param graceMillis time for which a generation without a stream goes on, and for which a whole one can be read again
 * @param restartMillis time for which an engine that died refuses connections
 * @param commandMillis time that a command takes
 * @param checksFencing whether commands with an old fencing number are refused
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

    /** A warm engine with the usual pace that checks fencing numbers. */
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
     * Replaces the pace.
     *
     * @param value the new pace
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
