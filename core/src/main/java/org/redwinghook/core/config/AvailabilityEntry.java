package org.redwinghook.core.config;

/**
 * Availability of the data centre or VM that its section names.
 *
 * @param kind whether a data centre or a VM is meant
 * @param availability in or out
 */
public record AvailabilityEntry(PlaceKind kind, Availability availability) implements SectionEntry {}
