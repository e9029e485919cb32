package org.redwinghook.standins.log;

/**
 * Limits of the log.
 *
 * @param appendsPerSecond appends taken in a second over all streams; more are refused with status 429
 * @param keptRecords records kept in each stream
 * @param keptMillis time for which a record is kept
 */
public record LogSettings(int appendsPerSecond, int keptRecords, long keptMillis) {

    /** Several hundred appends a second and records kept for two hours. */
    public static final LogSettings DEFAULT = new LogSettings(500, Integer.MAX_VALUE, 2 * 3_600_000L);
}
