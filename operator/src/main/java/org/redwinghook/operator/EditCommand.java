package org.redwinghook.operator;

import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.kohsuke.args4j.Option;
import org.redwinghook.core.config.ConfigurationFold;
import org.redwinghook.core.config.ConfigurationReader;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.runtime.config.ConfigurationPublisher;

/** Publishes one section if the version that was edited is still in force. */
public final class EditCommand extends ChangeCommand {

    @Option(name = "--section", metaVar = "NAME", required = true, usage = "section to change")
    private String section = "";

    @Option(name = "--file", metaVar = "FILE", required = true, usage = "YAML document with only this section")
    private Path sectionFile = Path.of("");

    @Option(
            name = "--replaces",
            metaVar = "VERSION",
            required = true,
            usage = "version that was edited, as printed by show; 0 for a new section")
    private long replacedVersion;

    @Override
    public String synopsis() {
        return "edit --section NAME --file FILE --replaces VERSION --team TEAM --log HOST:PORT"
                + " [--vm-list HOST:PORT] [--wait SECONDS] [--json]";
    }

    @Override
    protected Either<CommandResult, ChangeReport> change(OperatorSession session, ConfigurationPublisher publisher) {
        return readFile(sectionFile).flatMap(text -> readFold(session, publisher)
                .flatMap(fold -> ConfigurationReader.readSection(sectionFile.toString(), text, section, sections(fold))
                        .mapLeft(CommandResult::findings)
                        .map(wanted -> ChangeReport.of(List.of(edit(session, publisher, fold, wanted))))));
    }

    private SectionResult edit(
            OperatorSession session, ConfigurationPublisher publisher, ConfigurationFold fold, Section wanted) {
        SectionVersion version = fold.version(section);
        Section existing = fold.section(section);
        // The section already has the wanted entries if this edit is repeated after an attempt with an unknown outcome
        // that was accepted after all.
        if (hasSameEntries(existing, wanted) && version.team().equals(team())) {
            return SectionResult.unchanged(section, version.version());
        }
        if (version.version() != replacedVersion) {
            return new SectionResult(
                    section, SectionResult.Outcome.CONFLICT, version.version(), version.team(), List.of(), "");
        }
        return publish(session, publisher, createChange(existing, replacedVersion, wanted));
    }
}
