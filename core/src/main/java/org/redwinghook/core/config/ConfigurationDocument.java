package org.redwinghook.core.config;

import java.util.Map;

/**
 * A whole document without findings.
 *
 * @param sections sections by name
 * @param configuration what the document means
 */
public record ConfigurationDocument(Map<String, Section> sections, Configuration configuration) {

    public ConfigurationDocument {
        sections = Map.copyOf(sections);
    }
}
