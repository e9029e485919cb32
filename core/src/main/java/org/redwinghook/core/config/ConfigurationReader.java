package org.redwinghook.core.config;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.vavr.control.Either;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;

/**
 * Reads a whole configuration document, whose top-level keys are the names of sections, and reports everything that is
 * wrong with it, references between sections included.
 */
public final class ConfigurationReader {

    private ConfigurationReader() {}

    /**
     * Reads a document.
     *
     * @param file name for findings
     * @param text the document
     * @return the configuration, or all findings
     */
    public static Either<List<Finding>, Configuration> read(String file, String text) {
        return readDocument(file, text).map(ConfigurationDocument::configuration);
    }

    /**
     * Reads a document with its sections.
     *
     * @param file name for findings
     * @param text the document
     * @return the document, or all findings
     */
    public static Either<List<Finding>, ConfigurationDocument> readDocument(String file, String text) {
        Findings findings = new Findings();
        YamlMap top = YamlMap.parse(file, text, findings);
        Map<String, Section> sections = new LinkedHashMap<>();
        ReferenceCheck references = new ReferenceCheck();
        for (String name : top.keys()) {
            Optional<SectionKind> kind = SectionKind.of(name);
            if (kind.isEmpty()) {
                top.reportAt(name, "is not a known section");
                continue;
            }
            YamlMap map = top.map(name);
            references.add(name, map, SectionReader.read(kind.get(), map));
            section(top, name, map, findings).ifPresent(section -> sections.put(name, section));
        }
        references.report();
        return findings.resultOf(new ConfigurationDocument(sections, configuration(sections)));
    }

    // Section.read repeats findings of the entries without their places; only those on sizes are new.
    private static Optional<Section> section(YamlMap top, String name, YamlMap map, Findings findings) {
        Map<String, String> texts = new LinkedHashMap<>();
        int before = findings.toList().size();
        for (String entry : map.keys()) {
            texts.put(entry, map.json(entry, Section.LARGEST_ENTRY_BYTES));
        }
        if (findings.toList().size() > before) {
            return Optional.empty();
        }
        Either<List<Finding>, Section> section = Section.read(name, texts);
        if (section.isLeft() && findings.isEmpty()) {
            for (Finding finding : section.getLeft()) {
                if (finding.key().isEmpty()) {
                    top.reportAt(name, finding.problem());
                } else {
                    map.reportAt(finding.key(), finding.problem());
                }
            }
        }
        return section.toJavaOptional();
    }

    private static Configuration configuration(Map<String, Section> sections) {
        ConfigurationAssembler assembler = new ConfigurationAssembler(0);
        sections.values().stream()
                .sorted(java.util.Comparator.comparing(Section::name))
                .forEach(section -> assembler.add(section, SectionVersion.ABSENT));
        return assembler.result();
    }
}
