package org.redwinghook.core.message;

/**
 * Announces how far the sending process has folded the configuration.
 *
 * @param offset offset through which the process has folded
 */
public record ConfigurationAnnouncement(long offset) implements Message {}
