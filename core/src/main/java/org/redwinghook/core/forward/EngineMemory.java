package org.redwinghook.core.forward;

/**
 * Memory of a service's engines, and the bandwidth for copying it between them.
 *
 * @param capacityTokens capacity of one engine in tokens
 * @param bytesPerToken bytes to copy for each token
 * @param linkMegabitsPerSecond bandwidth of the link that copies use
 * @param movable whether engines can copy running generations to each other
 */
public record EngineMemory(long capacityTokens, long bytesPerToken, double linkMegabitsPerSecond, boolean movable) {

    /** Value for endpoints that are not engines. */
    public static final EngineMemory NONE = new EngineMemory(0, 0, 0, false);

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_PER_MEGABIT_PER_SECOND = 1_000;

    /**
     * Time to copy memory to an engine in the same data centre.
     *
     * @param tokens tokens to copy
     * @return milliseconds
     */
    public double copyMillis(long tokens) {
        if (linkMegabitsPerSecond <= 0) {
            return 0;
        }
        return tokens * bytesPerToken * BITS_PER_BYTE / (linkMegabitsPerSecond * BITS_PER_MILLI_PER_MEGABIT_PER_SECOND);
    }
}
