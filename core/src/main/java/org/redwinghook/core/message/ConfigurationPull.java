package org.redwinghook.core.message;

/**
 * Asks a peer for configuration records.
 *
 * @param after offset through which the asking process has folded
 * @param whole whether whole sections are wanted, as the asker missed records that the log no longer keeps
 */
public record ConfigurationPull(long after, boolean whole) implements Message {}
