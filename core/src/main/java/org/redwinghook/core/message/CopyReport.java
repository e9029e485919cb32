package org.redwinghook.core.message;

/**
 * A router's use of the link of an engine that leaves. The latest report of a router replaces its earlier ones.
 *
 * @param router name of the router
 * @param endpoint identifier of the engine
 * @param startedAtMillis Unix time of the engine's start, as in its entry
 * @param number number of the report, increasing for each router and engine
 * @param sentMillis time of sending by the sender's monotonic clock, in milliseconds
 * @param busyMillis expected time until the link has completed the router's copy, in milliseconds; 0 if it copies nothing
 * @param pendingRuns runs that the router still has to copy, without the one that is being copied
 * @param pendingTokens memory of these runs, in tokens
 */
public record CopyReport(
        String router,
        String endpoint,
        long startedAtMillis,
        long number,
        long sentMillis,
        long busyMillis,
        int pendingRuns,
        long pendingTokens)
        implements Message {}
