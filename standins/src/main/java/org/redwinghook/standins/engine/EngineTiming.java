package org.redwinghook.standins.engine;

/**
 * Duration of a decoding step and maximum size of the batch.
 *
 * @param stepMicros duration of a step with an empty batch
 * @param sequenceMicros time that each generation in the batch adds to the step
 * @param prefillMicros time that each prompt token outside the prefix cache adds to the step
 * @param maximumBatch maximum number of generations in the batch
 */
public record EngineTiming(long stepMicros, long sequenceMicros, long prefillMicros, int maximumBatch) {

    /** Default timing, with a batch of up to 64 generations. */
    public static final EngineTiming DEFAULT = new EngineTiming(20_000, 200, 50, 64);

    /** Steps of one millisecond, for tests. */
    public static final EngineTiming FAST = new EngineTiming(1_000, 0, 0, 64);

    long stepTimeMicros(int batchSize, long prefillTokens) {
        return stepMicros + sequenceMicros * batchSize + prefillMicros * prefillTokens;
    }
}
