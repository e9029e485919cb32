package org.redwinghook.systemtests.history;

/**
 * Time bounds of the guarantees, from the stated targets.
 *
 * @param noNewWorkMillis time after which a withdrawn place receives no new work
 * @param inForceMillis time after which an accepted change is in force everywhere
 */
public record Bounds(long noNewWorkMillis, long inForceMillis) {

    /** Targets: no new work after 5 s ("a few seconds"), a change in force everywhere within 7 s. */
    public static final Bounds TARGET = new Bounds(5_000, 7_000);
}
