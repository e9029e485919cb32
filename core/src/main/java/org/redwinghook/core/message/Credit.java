package org.redwinghook.core.message;

/**
 * Permits a sidecar to send tokens up to a sequence number.
 *
 * @param exchange exchange of the generation
 * @param deliveredThrough last sequence number that the caller's socket accepted
 * @param sendThrough last sequence number that the sidecar may send
 */
public record Credit(long exchange, long deliveredThrough, long sendThrough) implements Message {}
