package org.redwinghook.core.config;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * A change of one section.
 *
 * @param section name of the section
 * @param team team that makes the change
 * @param replaces version of the section that the change is based on; 0 if the section was absent
 * @param change identifier by which the author finds the record on the log
 * @param author person or program that made the change
 * @param put entries to add or to replace, by name, each as JSON on one line
 * @param remove names of entries to remove
 */
public record SectionChange(
        String section,
        String team,
        long replaces,
        String change,
        String author,
        Map<String, String> put,
        List<String> remove)
        implements ConfigurationRecord {

    public SectionChange {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(team, "team");
        Objects.requireNonNull(change, "change");
        Objects.requireNonNull(author, "author");
        put = Map.copyOf(put);
        remove = List.copyOf(remove);
    }
}
