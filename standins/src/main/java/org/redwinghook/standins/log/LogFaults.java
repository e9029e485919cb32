package org.redwinghook.standins.log;

/**
 * Faults of the log.
 *
 * @param down whether the log closes the connection of each request without handling it
 * @param delayMillis delay before each request is handled
 * @param loseAnswerEvery the response to every append whose number is a multiple of this value is lost after the record
 *     was stored; 0 for none
 * @param loseNextAnswers number of next appends whose response is lost after the record was stored
 * @param applyLateNext number of next appends that receive an error and whose record is stored later
 * @param applyLateMillis delay until the records of those appends are stored
 */
public record LogFaults(
        boolean down,
        long delayMillis,
        int loseAnswerEvery,
        int loseNextAnswers,
        int applyLateNext,
        long applyLateMillis) {

    /** No faults; the delay for late appends is preset to 500 ms. */
    public static final LogFaults NONE = new LogFaults(false, 0, 0, 0, 0, 500);

    /**
     * Sets whether the log is down.
     *
     * @param value whether the log is down
     * @return the new faults
     */
    public LogFaults withDown(boolean value) {
        return new LogFaults(value, delayMillis, loseAnswerEvery, loseNextAnswers, applyLateNext, applyLateMillis);
    }

    /**
     * Delays each request.
     *
     * @param value delay in milliseconds
     * @return the new faults
     */
    public LogFaults withDelayMillis(long value) {
        return new LogFaults(down, value, loseAnswerEvery, loseNextAnswers, applyLateNext, applyLateMillis);
    }

    /**
     * Loses the response to every n-th append.
     *
     * @param value the interval n; 0 for none
     * @return the new faults
     */
    public LogFaults withLoseAnswerEvery(int value) {
        return new LogFaults(down, delayMillis, value, loseNextAnswers, applyLateNext, applyLateMillis);
    }

    /**
     * Loses the responses to the next appends.
     *
     * @param value number of appends
     * @return the new faults
     */
    public LogFaults withLoseNextAnswers(int value) {
        return new LogFaults(down, delayMillis, loseAnswerEvery, value, applyLateNext, applyLateMillis);
    }

    /**
     * Stores the records of the next appends after responding that the appends failed.
     *
     * @param value number of appends
     * @param millis delay until the records are stored, in milliseconds
     * @return the new faults
     */
    public LogFaults withApplyLate(int value, long millis) {
        return new LogFaults(down, delayMillis, loseAnswerEvery, loseNextAnswers, value, millis);
    }
}
