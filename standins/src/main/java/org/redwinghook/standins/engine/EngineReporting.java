package org.redwinghook.standins.engine;

/**
 * How late and with which gaps an engine reports.
 *
 * @param loadLagMillis age of the load that is reported
 * @param cacheEventDelayMillis time after which a cache event can be read
 * @param cacheEventGapEvery each cache event with a number divisible by this is never reported; 0 for none
 */
public record EngineReporting(long loadLagMillis, long cacheEventDelayMillis, int cacheEventGapEvery) {

    /** Half a second late, with every tenth cache event missing. */
    public static final EngineReporting DEFAULT = new EngineReporting(500, 500, 10);

    /** Without lag and gaps, for tests. */
    public static final EngineReporting IMMEDIATE = new EngineReporting(0, 0, 0);
}
