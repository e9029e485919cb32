package org.redwinghook.core.message;

/**
 * A generation ended before it was whole and will not go on.
 *
 * @param exchange exchange of the generation
 * @param detail cause
 * @param lastSequence sequence number of the last token that exists
 */
public record Interrupted(long exchange, String detail, long lastSequence) implements Message {}
