package org.redwinghook.core.config;

import java.util.Map;
import java.util.Objects;

/**
 * Snapshot of a section, appended before retention removes the changes that produced it.
 *
 * @param section name of the section
 * @param team team that owns the section
 * @param version version of the section
 * @param entries all entries by name, each as JSON on one line
 */
public record SectionSnapshot(String section, String team, long version, Map<String, String> entries)
        implements ConfigurationRecord {

    public SectionSnapshot {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(team, "team");
        entries = Map.copyOf(entries);
    }
}
