package org.redwinghook.standins.log;

/**
 * Limits of the log stand-in.
 *
 * @param appendsPerSecond maximum rate of appends over all streams; appends above it are refused with status 429
 * @param keptRecords maximum number of records in each stream
 * @param keptMillis retention time of a record
 */
public record LogSettings(int appendsPerSecond, int keptRecords, long keptMillis) {

    /** Several hundred appends a second, and a retention of two hours without a limit on the number of records. */
    public static final LogSettings DEFAULT = new LogSettings(500, Integer.MAX_VALUE, 2 * 3_600_000L);
}
