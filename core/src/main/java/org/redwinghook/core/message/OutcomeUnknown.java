package org.redwinghook.core.message;

/**
 * A call may or may not have run; nobody will run it again under its key.
 *
 * @param exchange exchange of the call
 * @param detail cause
 */
public record OutcomeUnknown(long exchange, String detail) implements Message {}
