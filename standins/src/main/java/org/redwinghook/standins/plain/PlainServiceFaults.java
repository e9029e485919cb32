package org.redwinghook.standins.plain;

/**
 * Faults of the plain service stand-in.
 *
 * @param dieBeforeEffectNext number of next calls at which the service crashes before the effect
 * @param dieAfterEffectNext number of next calls at which the service crashes after the effect, without a response
 * @param answerDelayMillis delay between the effect and the response
 * @param restartMillis time for which a crashed service refuses connections
 */
public record PlainServiceFaults(
        int dieBeforeEffectNext, int dieAfterEffectNext, long answerDelayMillis, long restartMillis) {

    /** No faults; the restart time of a crashed service is preset to 200 ms. */
    public static final PlainServiceFaults NONE = new PlainServiceFaults(0, 0, 0, 200);

    /**
     * Crashes the service before the effects of the next calls.
     *
     * @param value number of calls
     * @return the new faults
     */
    public PlainServiceFaults withDieBeforeEffectNext(int value) {
        return new PlainServiceFaults(value, dieAfterEffectNext, answerDelayMillis, restartMillis);
    }

    /**
     * Crashes the service after the effects of the next calls.
     *
     * @param value number of calls
     * @return the new faults
     */
    public PlainServiceFaults withDieAfterEffectNext(int value) {
        return new PlainServiceFaults(dieBeforeEffectNext, value, answerDelayMillis, restartMillis);
    }

    /**
     * Delays responses.
     *
     * @param value delay in milliseconds
     * @return the new faults
     */
    public PlainServiceFaults withAnswerDelayMillis(long value) {
        return new PlainServiceFaults(dieBeforeEffectNext, dieAfterEffectNext, value, restartMillis);
    }

    /**
     * Sets how long a crashed service refuses connections.
     *
     * @param value time in milliseconds
     * @return the new faults
     */
    public PlainServiceFaults withRestartMillis(long value) {
        return new PlainServiceFaults(dieBeforeEffectNext, dieAfterEffectNext, answerDelayMillis, value);
    }
}
