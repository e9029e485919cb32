package org.redwinghook.standins.engine;

/**
 * Time of a decoding step.
 *
 * @param stepMicros time of a step with an empty batch in microseconds
 * @param sequenceMicros time that each generation in the batch adds
 * @param prefillMicros time that each prompt token adds which is not in the prefix cache
 * @param maximumBatch most generations in the batch
 */
public record EngineTiming(long stepMicros, long sequenceMicros, long prefillMicros, int maximumBatch) {

    /** A batch of up to 64. */
    public static final EngineTiming DEFAULT = new EngineTiming(20_000, 200, 50, 64);

    /** Steps of one millisecond, for tests. */
    public static final EngineTiming FAST = new EngineTiming(1_000, 0, 0, 64);

    long stepTimeMicros(int batch, long prefillTokens) {
        return stepMicros + sequenceMicros * batch + prefillMicros * prefillTokens;
    }
}
