package org.redwinghook.standins.engine;

/**
 * Faults of an engine that last until they are switched off or used up.
 *
 * @param stalled whether decoding stands still while connections stay open
 * @param dieAfterTokens tokens, over all generations, after which the engine dies; 0 for never
 * @param malformedNext number of coming events that are sent as broken JSON
 */
public record EngineFaults(boolean stalled, int dieAfterTokens, int malformedNext) {

    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults(false, 0, 0);

    /**
     * Switches the stall.
     *
     * @param value whether decoding stands still
     * @return the new faults
     */
    public EngineFaults withStalled(boolean value) {
        return new EngineFaults(value, dieAfterTokens, malformedNext);
    }

    /**
     * Lets the engine die.
     *
     * @param value tokens until then, 0 for never
     * @return the new faults
     */
    public EngineFaults withDieAfterTokens(int value) {
        return new EngineFaults(stalled, value, malformedNext);
    }

    /**
     * Breaks coming events.
     *
     * @param value number of events
     * @return the new faults
     */
    public EngineFaults withMalformedNext(int value) {
        return new EngineFaults(stalled, dieAfterTokens, value);
    }
}
