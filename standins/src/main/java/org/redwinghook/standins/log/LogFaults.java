package org.redwinghook.standins.log;

/**
 * Faults of the log.
 *
 * @param down whether each request ends in a closed connection without effect
 * @param delayMillis delay of each request before its effect
 * @param loseAnswerEvery the answer of each append with a number divisible by this is lost after its effect; 0 for none
 * @param loseNextAnswers number of coming appends whose answer is lost after their effect
 * @param applyLateNext number of coming appends that are answered with an error and take effect later
 * @param applyLateMillis delay of those effects
 */
public record LogFaults(
        boolean down,
        long delayMillis,
        int loseAnswerEvery,
        int loseNextAnswers,
        int applyLateNext,
        long applyLateMillis) {

    /** No faults; appends that are told to take effect late do so after 500 ms. */
    public static final LogFaults NONE = new LogFaults(false, 0, 0, 0, 0, 500);

    /**
     * Switches the outage.
     *
     * @param value whether the log is down
     * @return the new faults
     */
    public LogFaults withDown(boolean value) {
        return new LogFaults(value, delayMillis, loseAnswerEvery, loseNextAnswers, applyLateNext, applyLateMillis);
    }

    /**
     * Slows each request.
     *
     * @param value delay in milliseconds
     * @return the new faults
     */
    public LogFaults withDelayMillis(long value) {
        return new LogFaults(down, value, loseAnswerEvery, loseNextAnswers, applyLateNext, applyLateMillis);
    }

    /**
     * Loses the answer of every n-th append.
     *
     * @param value the n, 0 for none
     * @return the new faults
     */
    public LogFaults withLoseAnswerEvery(int value) {
        return new LogFaults(down, delayMillis, value, loseNextAnswers, applyLateNext, applyLateMillis);
    }

    /**
     * Loses the answers of coming appends.
     *
     * @param value number of appends
     * @return the new faults
     */
    public LogFaults withLoseNextAnswers(int value) {
        return new LogFaults(down, delayMillis, loseAnswerEvery, value, applyLateNext, applyLateMillis);
    }

    /**
     * Lets coming appends take effect after their answer says that they failed.
     *
     * @param value number of appends
     * @param millis delay of their effect in milliseconds
     * @return the new faults
     */
    public LogFaults withApplyLate(int value, long millis) {
        return new LogFaults(down, delayMillis, loseAnswerEvery, loseNextAnswers, value, millis);
    }
}
