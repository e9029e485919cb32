package org.redwinghook.standins.plain;

/**
 * Faults of the plain service.
 *
 * @param dieBeforeEffectNext number of coming calls at which the service dies before their effect
 * @param dieAfterEffectNext number of coming calls at which the service dies after their effect, without an answer
 * @param answerDelayMillis delay between the effect and the answer
 * @param restartMillis time for which a service that died refuses connections
 */
public record PlainServiceFaults(
        int dieBeforeEffectNext, int dieAfterEffectNext, long answerDelayMillis, long restartMillis) {

    /** No faults; a service that died is back after 200 ms. */
    public static final PlainServiceFaults NONE = new PlainServiceFaults(0, 0, 0, 200);

    /**
     * Lets the service die before effects.
     *
     * @param value number of coming calls
     * @return the new faults
     */
    public PlainServiceFaults withDieBeforeEffectNext(int value) {
        return new PlainServiceFaults(value, dieAfterEffectNext, answerDelayMillis, restartMillis);
    }

    /**
     * Lets the service die after effects.
     *
     * @param value number of coming calls
     * @return the new faults
     */
    public PlainServiceFaults withDieAfterEffectNext(int value) {
        return new PlainServiceFaults(dieBeforeEffectNext, value, answerDelayMillis, restartMillis);
    }

    /**
     * Delays answers.
     *
     * @param value delay in milliseconds
     * @return the new faults
     */
    public PlainServiceFaults withAnswerDelayMillis(long value) {
        return new PlainServiceFaults(dieBeforeEffectNext, dieAfterEffectNext, value, restartMillis);
    }

    /**
     * Sets how long a service that died is away.
     *
     * @param value time in milliseconds
     * @return the new faults
     */
    public PlainServiceFaults withRestartMillis(long value) {
        return new PlainServiceFaults(dieBeforeEffectNext, dieAfterEffectNext, answerDelayMillis, value);
    }
}
