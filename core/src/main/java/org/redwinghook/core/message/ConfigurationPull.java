package org.redwinghook.core.message;

/**
 * Asks a peer for configuration records.
 *
 * @param after offset through which the asking process has folded
 */
public record ConfigurationPull(long after) implements Message {}
