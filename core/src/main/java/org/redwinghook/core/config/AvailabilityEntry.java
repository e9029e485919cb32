package org.redwinghook.core.config;

/**
 * Availability of the data centre or VM named by the section.
 *
 * @param kind type of the place, a data centre or a VM
 * @param availability whether the place takes new work
 */
public record AvailabilityEntry(PlaceKind kind, Availability availability) implements SectionEntry {}
