package org.redwinghook.core.message;

/**
 * A generation ended before it was complete and will not continue.
 *
 * @param exchange exchange of the generation
 * @param detail cause of the interruption
 * @param lastSequence sequence number of the last token that was generated
 */
public record Interrupted(long exchange, String detail, long lastSequence) implements Message {}
