package org.redwinghook.core.message;

/**
 * A call may or may not have run; it will not be run again under its key.
 *
 * @param exchange exchange of the call
 * @param detail why the outcome is not known
 */
public record OutcomeUnknown(long exchange, String detail) implements Message {}
