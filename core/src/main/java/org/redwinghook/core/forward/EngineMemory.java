package org.redwinghook.core.forward;

/**
 * Memory of a service's engines.
 *
 * @param capacityTokens tokens that it holds
 * @param bytesPerToken bytes of a token when it is copied
 * @param linkMegabits megabits a second that a copy can take
 * @param movable whether engines copy runs to each other on request
 */
public record EngineMemory(long capacityTokens, long bytesPerToken, double linkMegabits, boolean movable) {

    /** Memory of endpoints that are no engines. */
    public static final EngineMemory NONE = new EngineMemory(0, 0, 0, false);

    private static final double BITS_PER_BYTE = 8;
    private static final double BITS_PER_MEGABIT_MILLI = 1_000;

    /**
     * Time for copying memory to an engine in the same data centre.
     *
     * @param tokens tokens to copy
     * @return milliseconds
     */
    public double copyMillis(long tokens) {
        if (linkMegabits <= 0) {
            return 0;
        }
        return tokens * bytesPerToken * BITS_PER_BYTE / (linkMegabits * BITS_PER_MEGABIT_MILLI);
    }
}
