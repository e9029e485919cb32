package org.redwinghook.systemtests.history;

/**
 * Time bounds of the guarantees.
 *
 * @param maximumWithdrawalMillis maximum time in milliseconds from the withdrawal of a data centre or
 *     endpoint to the last new work that it receives
 * @param maximumPropagationMillis maximum time in milliseconds from the acceptance of a configuration change
 *     until it is in force in all processes
 */
public record TimeBounds(long maximumWithdrawalMillis, long maximumPropagationMillis) {

    /** Target bounds: no new work 5 s after a withdrawal, a change in force in all processes within 7 s. */
    public static final TimeBounds TARGET = new TimeBounds(5_000, 7_000);
}
