package org.redwinghook.core.config;

import java.util.Map;

/**
 * A complete configuration document without findings.
 *
 * @param sections sections by name
 * @param configuration typed configuration of all sections
 */
public record ConfigurationDocument(Map<String, Section> sections, Configuration configuration) {

    public ConfigurationDocument {
        sections = Map.copyOf(sections);
    }
}
