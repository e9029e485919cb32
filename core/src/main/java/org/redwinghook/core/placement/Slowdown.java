package org.redwinghook.core.placement;

/** Range of slowdown factors; 1 is usual, 2 takes twice as long. */
public final class Slowdown {

    /** Smallest factor. */
    public static final double MINIMUM = 0.4;

    /** Largest factor. */
    public static final double MAXIMUM = 4;

    private Slowdown() {}

    /**
     * Limits a factor to the range.
     *
     * @param factor the factor
     * @return a factor between {@link #MINIMUM} and {@link #MAXIMUM}
     */
    public static double limit(double factor) {
        return Math.max(MINIMUM, Math.min(MAXIMUM, factor));
    }
}
