package org.redwinghook.core.usage;

/**
 * Cumulative counts of a process for one key.
 *
 * @param key what the counts are for
 * @param counts counts since the start of the process
 */
public record UsageEntry(UsageKey key, UsageCounts counts) {}
