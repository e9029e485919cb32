package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;

/**
 * Parses a complete configuration document, whose top-level keys are section names, and reports all problems in it,
 * including broken references between sections.
 */
public final class ConfigurationReader {

    private ConfigurationReader() {}

    /**
     * Reads a document.
     *
     * @param file file name used in findings
     * @param text the document
     * @return the configuration, or all findings
     */
    public static Either<List<Finding>, Configuration> read(String file, String text) {
        return readDocument(file, text).map(ConfigurationDocument::configuration);
    }

    /**
     * Reads a document and keeps its sections.
     *
     * @param file file name used in findings
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
            toSection(top, name, map, findings).ifPresent(section -> sections.put(name, section));
        }
        references.report();
        return findings.resultOf(new ConfigurationDocument(sections, assemble(sections)));
    }

    /**
     * Reads one section of a document that has only this section, and checks its references against other sections.
     *
     * @param file file name used in findings
     * @param text the document
     * @param name name of the section
     * @param currentSections the sections in force, possibly including the current version of this section
     * @return the section, or all findings; a broken reference of another section counts only if this change breaks it
     */
    public static Either<List<Finding>, Section> readSection(
            String file, String text, String name, Collection<Section> currentSections) {
        Findings findings = new Findings();
        YamlMap top = YamlMap.parse(file, text, findings);
        Optional<SectionKind> kind = SectionKind.of(name);
        if (kind.isEmpty() || !top.has(name)) {
            String problem = kind.isEmpty() ? "is not a known section" : "the file does not have this section";
            findings.add(new Finding(file, 0, 0, name, problem));
            return Either.left(findings.toList());
        }
        for (String key : top.keys()) {
            if (!key.equals(name)) {
                top.reportAt(key, "is not the section '" + name + "'");
            }
        }
        YamlMap map = top.map(name);
        List<Section> others = currentSections.stream()
                .filter(other -> !other.name().equals(name))
                .toList();
        Findings otherFindings = new Findings();
        ReferenceCheck references = collectReferences(others, otherFindings);
        references.add(name, map, SectionReader.read(kind.get(), map));
        references.report();
        Optional<Section> section = toSection(top, name, map, findings);
        Set<Finding> knownFindings = findBrokenReferences(others, currentSections, name);
        otherFindings.toList().stream()
                .map(ConfigurationReader::withoutPosition)
                .filter(finding -> !knownFindings.contains(finding))
                .forEach(findings::add);
        return section.isPresent() ? findings.resultOf(section.get()) : Either.left(findings.toList());
    }

    private static ReferenceCheck collectReferences(List<Section> sections, Findings findings) {
        ReferenceCheck references = new ReferenceCheck();
        for (Section section : sections) {
            references.add(
                    section.name(), YamlMap.ofTexts(section.name(), section.texts(), findings), section.entries());
        }
        return references;
    }

    /** Finds the references of other sections that are broken already with the current version of the section. */
    private static Set<Finding> findBrokenReferences(
            List<Section> others, Collection<Section> currentSections, String name) {
        List<Section> ordered = new ArrayList<>(others);
        currentSections.stream().filter(section -> section.name().equals(name)).forEach(ordered::add);
        Findings findings = new Findings();
        collectReferences(ordered, findings).report();
        return findings.toList().stream()
                .map(ConfigurationReader::withoutPosition)
                .collect(Collectors.toSet());
    }

    // Sections in force were read from the log and have no position in a file.
    private static Finding withoutPosition(Finding finding) {
        return new Finding(finding.file(), 0, 0, finding.key(), finding.problem());
    }

    // Section.read reports the findings of the entries again without positions; only its findings on sizes are new.
    private static Optional<Section> toSection(YamlMap top, String name, YamlMap map, Findings findings) {
        Map<String, String> texts = new LinkedHashMap<>();
        int before = findings.toList().size();
        for (String entry : map.keys()) {
            texts.put(entry, map.toJson(entry, Section.MAXIMUM_ENTRY_BYTES));
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

    private static Configuration assemble(Map<String, Section> sections) {
        ConfigurationAssembler assembler = new ConfigurationAssembler(0);
        sections.values().stream()
                .sorted(java.util.Comparator.comparing(Section::name))
                .forEach(section -> assembler.add(section, SectionVersion.ABSENT));
        return assembler.toConfiguration();
    }
}
