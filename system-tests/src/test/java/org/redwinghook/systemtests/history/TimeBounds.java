package org.redwinghook.systemtests.history;

/**
 * Time bounds of the guarantees, from the stated targets.
 *
 * @param maximumWithdrawalMillis time after which a withdrawn place receives no new work
 * @param maximumPropagationMillis time after which an accepted change is in force everywhere
 */
public record TimeBounds(long maximumWithdrawalMillis, long maximumPropagationMillis) {

    /** Targets: no new work after 5 s ("a few seconds"), a change in force everywhere within 7 s. */
    public static final TimeBounds TARGET = new TimeBounds(5_000, 7_000);
}
