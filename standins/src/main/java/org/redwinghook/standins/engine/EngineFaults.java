package org.redwinghook.standins.engine;

/**
 * Faults of an engine that last until they are switched off or used up.
 *
 * @param stalled whether decoding pauses while connections stay open
 * @param dieAfterTokens number of tokens, over all generations, after which the engine crashes; 0 for never
 * @param malformedNext number of next events that are sent as malformed JSON
 */
public record EngineFaults(boolean stalled, int dieAfterTokens, int malformedNext) {

    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(false, 0, 0);

    /**
     * Sets whether decoding is stalled.
     *
     * @param value whether decoding pauses
     * @return the new faults
     */
    public EngineFaults withStalled(boolean value) {
        return new EngineFaults(value, dieAfterTokens, malformedNext);
    }

    /**
     * Sets when the engine crashes.
     *
     * @param value number of tokens until the crash; 0 for never
     * @return the new faults
     */
    public EngineFaults withDieAfterTokens(int value) {
        return new EngineFaults(stalled, value, malformedNext);
    }

    /**
     * Sets how many of the next events are malformed.
     *
     * @param value number of events
     * @return the new faults
     */
    public EngineFaults withMalformedNext(int value) {
        return new EngineFaults(stalled, dieAfterTokens, value);
    }
}
