package org.redwinghook.core.message;

/**
 * Requests configuration records from a peer.
 *
 * @param after offset through which the requesting process has folded
 * @param whole whether complete sections are requested, because the requester missed records that the log no longer
 *     retains
 */
public record ConfigurationPull(long after, boolean whole) implements Message {}
