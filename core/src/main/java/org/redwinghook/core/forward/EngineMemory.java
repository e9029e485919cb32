package org.redwinghook.core.forward;

/**
 * Memory of a service's engines.
 *
 * @param capacityTokens tokens that it holds
 * @param bytesPerToken bytes of a token when it is copied
 * @param linkMegabitsPerSecond megabits a second that a copy can take
 * @param movable whether engines copy runs to each other on request
 */
public record EngineMemory(long capacityTokens, long bytesPerToken, double linkMegabitsPerSecond, boolean movable) {

    /** Memory of endpoints that are no engines. */
    public static final EngineMemory NONE = new EngineMemory(0, 0, 0, false);

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MILLI_PER_MEGABIT_PER_SECOND = 1_000;

    /**
     * Time for copying memory to an engine in the same data centre.
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
