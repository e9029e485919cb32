package org.redwinghook.standins.engine;

/**
 * Delays and gaps in what an engine reports.
 *
 * @param loadLagMillis age of the reported load
 * @param cacheEventDelayMillis delay until a cache event can be read
 * @param cacheEventGapEvery cache events whose sequence number is a multiple of this value are never reported; 0 for no
 *     gaps
 */
public record EngineReporting(long loadLagMillis, long cacheEventDelayMillis, int cacheEventGapEvery) {

    /** Half a second of delay, with every tenth cache event missing. */
    public static final EngineReporting DEFAULT = new EngineReporting(500, 500, 10);

    /** No delay and no gaps, for tests. */
    public static final EngineReporting IMMEDIATE = new EngineReporting(0, 0, 0);
}
