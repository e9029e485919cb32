package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.google.common.base.Utf8;
import io.vavr.control.Either;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;

/**
 * A valid section with its entries as text and as typed values. Immutable: a change creates a new section and parses
 * only the entries that it puts, so that its cost depends on the size of those entries and not on the size of the
 * document.
 */
public final class Section {

    /** Maximum size of an entry, name and text together, in bytes of UTF-8. */
    public static final int MAXIMUM_ENTRY_BYTES = 16 * 1024;

    /** Maximum size of a section, names and texts of all entries, in bytes of UTF-8. */
    public static final int MAXIMUM_SECTION_BYTES = 64 * 1024;

    private final String name;
    private final SectionKind kind;
    private final Map<String, String> texts;
    private final Map<String, SectionEntry> entries;

    private Section(String name, SectionKind kind, Map<String, String> texts, Map<String, SectionEntry> entries) {
        this.name = name;
        this.kind = kind;
        this.texts = Map.copyOf(texts);
        this.entries = Map.copyOf(entries);
    }

    /**
     * Reads a section.
     *
     * @param name name of the section
     * @param texts all entries by name, each as JSON on one line
     * @return the section, or all findings
     */
    public static Either<List<Finding>, Section> read(String name, Map<String, String> texts) {
        return SectionKind.of(name)
                .map(kind -> new Section(name, kind, Map.of(), Map.of()).withChange(texts, List.of()))
                .orElseGet(() -> Either.left(List.of(finding(name, "", "is not a known section"))));
    }

    /**
     * Applies a change.
     *
     * @param put entries to add or to replace, as text by name
     * @param remove names of entries to remove; names that are absent are ignored
     * @return the changed section, or all findings
     */
    public Either<List<Finding>, Section> withChange(Map<String, String> put, Collection<String> remove) {
        Findings findings = new Findings();
        Map<String, String> newTexts = new HashMap<>(texts);
        Map<String, SectionEntry> newEntries = new HashMap<>(entries);
        remove.forEach(newTexts::remove);
        remove.forEach(newEntries::remove);
        newTexts.putAll(put);
        checkSizes(put, newTexts, findings);
        if (findings.isEmpty()) {
            newEntries.putAll(SectionReader.read(kind, YamlMap.ofTexts(name, new java.util.TreeMap<>(put), findings)));
        }
        return findings.resultOf(new Section(name, kind, newTexts, newEntries));
    }

    /**
     * Entries to put to give this section the wanted entries.
     *
     * @param wanted wanted entries as text, by name
     * @return new and changed entries as text, by name
     */
    public Map<String, String> entriesToPut(Map<String, String> wanted) {
        Map<String, String> put = new LinkedHashMap<>();
        wanted.forEach((entry, text) -> {
            if (!text.equals(texts.get(entry))) {
                put.put(entry, text);
            }
        });
        return put;
    }

    /**
     * Entries to remove to give this section the wanted entries.
     *
     * @param wanted wanted entries as text, by name
     * @return sorted names of the entries that are not wanted
     */
    public List<String> entriesToRemove(Map<String, String> wanted) {
        List<String> remove = new ArrayList<>(texts.keySet());
        remove.removeAll(wanted.keySet());
        remove.sort(null);
        return remove;
    }

    /**
     * Name of the section.
     *
     * @return the name
     */
    public String name() {
        return name;
    }

    /**
     * Kind of the section.
     *
     * @return the kind
     */
    public SectionKind kind() {
        return kind;
    }

    /**
     * Entries as text.
     *
     * @return immutable, by name
     */
    public Map<String, String> texts() {
        return texts;
    }

    /**
     * Entries as typed values.
     *
     * @return immutable, by name
     */
    public Map<String, SectionEntry> entries() {
        return entries;
    }

    private void checkSizes(Map<String, String> put, Map<String, String> all, Findings findings) {
        put.forEach((entry, text) -> {
            if (bytes(entry, text) > MAXIMUM_ENTRY_BYTES) {
                findings.add(finding(name, entry, "is larger than " + MAXIMUM_ENTRY_BYTES + " bytes"));
            }
        });
        long total = 0;
        for (Map.Entry<String, String> entry : all.entrySet()) {
            total += bytes(entry.getKey(), entry.getValue());
        }
        if (total > MAXIMUM_SECTION_BYTES) {
            findings.add(finding(
                    name,
                    "",
                    "the section has " + total + " bytes; at most " + MAXIMUM_SECTION_BYTES + " are allowed"));
        }
    }

    private static long bytes(String entry, String text) {
        return (long) encodedLength(entry) + encodedLength(text);
    }

    private static int encodedLength(String text) {
        try {
            return Utf8.encodedLength(text);
        } catch (IllegalArgumentException exception) {
            // A text with an unpaired surrogate has no UTF-8 form; three bytes per char is an upper bound.
            return text.length() * 3;
        }
    }

    private static Finding finding(String section, String entry, String problem) {
        return new Finding(section, 0, 0, entry, problem);
    }
}
