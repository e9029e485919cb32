package org.redwinghook.operator;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.vavr.control.Either;
import org.kohsuke.args4j.Option;
import org.redwinghook.core.config.ConfigurationDocument;
import org.redwinghook.core.config.ConfigurationFold;
import org.redwinghook.core.config.ConfigurationReader;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.SectionChange;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.runtime.config.ConfigurationPublisher;

/**
 * Publishes the sections of a document that differ from those on the log. Sections that the document does not contain
 * stay unchanged. Nothing is published if one of the changed sections belongs to another team, and publishing stops at
 * the first section that is not accepted.
 */
public final class PublishCommand extends ChangeCommand {

    @Option(name = "--file", metaVar = "FILE", required = true, usage = "YAML document with the sections to publish")
    private Path documentFile = Path.of("");

    @Override
    public String synopsis() {
        return "publish --log HOST:PORT --file FILE --team TEAM [--vm-list HOST:PORT] [--wait SECONDS] [--json]";
    }

    @Override
    protected Either<CommandResult, ChangeReport> change(OperatorSession session, ConfigurationPublisher publisher) {
        return readFile(documentFile)
                .flatMap(text -> ConfigurationReader.readDocument(documentFile.toString(), text)
                        .mapLeft(CommandResult::findings))
                .flatMap(document ->
                        readFold(session, publisher).map(fold -> publish(session, publisher, document, fold)));
    }

    private ChangeReport publish(
            OperatorSession session,
            ConfigurationPublisher publisher,
            ConfigurationDocument document,
            ConfigurationFold fold) {
        List<SectionChange> changes = new ArrayList<>();
        List<SectionResult> results = new ArrayList<>();
        boolean isAborted = false;
        for (Section section : sortedSections(document)) {
            SectionVersion version = fold.version(section.name());
            if (hasSameEntries(fold.section(section.name()), section)) {
                results.add(SectionResult.unchanged(section.name(), version.version()));
                continue;
            }
            changes.add(createChange(fold.section(section.name()), version.version(), section));
            isAborted |= isOwnedByOtherTeam(version);
        }
        for (SectionChange change : changes) {
            SectionResult result = isAborted ? createAbortedResult(change, fold) : publish(session, publisher, change);
            results.add(result);
            isAborted |= result.outcome() != SectionResult.Outcome.ACCEPTED;
        }
        return ChangeReport.of(results);
    }

    private static List<Section> sortedSections(ConfigurationDocument document) {
        return document.sections().values().stream()
                .sorted(Comparator.comparing(Section::name))
                .toList();
    }

    private boolean isOwnedByOtherTeam(SectionVersion version) {
        return version.version() > 0 && !version.team().equals(team());
    }

    private SectionResult createAbortedResult(SectionChange change, ConfigurationFold fold) {
        SectionVersion version = fold.version(change.section());
        return isOwnedByOtherTeam(version)
                ? new SectionResult(
                        change.section(),
                        SectionResult.Outcome.CONFLICT,
                        version.version(),
                        version.team(),
                        List.of(),
                        "")
                : SectionResult.notTried(change.section());
    }
}
