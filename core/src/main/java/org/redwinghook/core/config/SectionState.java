package org.redwinghook.core.config;

import java.util.Map;
import java.util.Objects;

/**
 * Folded state of a section, in the form in which processes exchange it.
 *
 * @param section name of the section
 * @param team team that owns the section
 * @param version offset of the last accepted change
 * @param copiedAtMillis time of the newest snapshot on the log, in milliseconds since 1970
 * @param entries all entries by name, each as JSON on one line
 */
public record SectionState(
        String section, String team, long version, long copiedAtMillis, Map<String, String> entries) {

    public SectionState {
        Objects.requireNonNull(section, "section");
        Objects.requireNonNull(team, "team");
        entries = Map.copyOf(entries);
    }
}
