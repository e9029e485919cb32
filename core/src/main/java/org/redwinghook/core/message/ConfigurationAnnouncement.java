package org.redwinghook.core.message;

/**
 * Tells a peer how far this process has folded the configuration.
 *
 * @param offset offset through which the process has folded
 */
public record ConfigurationAnnouncement(long offset) implements Message {}
