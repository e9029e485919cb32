package org.redwinghook.core.config;

/**
 * A data centre.
 *
 * @param name name of the data centre
 * @param region region that it belongs to
 */
public record DataCentre(String name, String region) implements SectionEntry {}
