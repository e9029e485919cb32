package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.redwinghook.core.config.ConfigurationFold;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.SectionState;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.runtime.config.ConfigurationPublisher;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.runtime.settings.Address;

/** Lists the sections of the configuration, or prints one of them as YAML that can be edited and published. */
public final class ShowCommand extends PlatformCommand {

    @Argument(metaVar = "SECTION", usage = "section to print; without it all are listed")
    private String section = "";

    @Override
    public String synopsis() {
        return "show [SECTION] --log HOST:PORT [--json]";
    }

    @Override
    protected CommandResult run(OperatorSession session, Address logAddress, @Nullable Address vmListAddress) {
        ConfigurationPublisher publisher = session.createPublisher(logAddress);
        return session.await(publisher::read)
                .fold(
                        problem -> CommandResult.problem(
                                ExitCode.FAILED, "redwinghook: the log cannot be read: " + problem),
                        fold -> section.isEmpty() ? listSections(fold) : showSection(fold));
    }

    private static CommandResult listSections(ConfigurationFold fold) {
        List<SectionSummary> summaries = new ArrayList<>();
        List<String> lines = new ArrayList<>();
        for (SectionState state : fold.sectionStates()) {
            summaries.add(new SectionSummary(
                    state.section(),
                    state.version(),
                    state.team(),
                    state.entries().size()));
            lines.add(state.section() + ": version " + state.version() + ", team " + state.team() + ", "
                    + state.entries().size() + " entries");
        }
        return CommandResult.done(summaries, lines);
    }

    private CommandResult showSection(ConfigurationFold fold) {
        Section found = fold.section(section);
        if (found == null) {
            return CommandResult.problem(
                    ExitCode.FINDINGS, "redwinghook: the log has no section " + section + "; its version is 0");
        }
        SectionVersion version = fold.version(section);
        return CommandResult.done(
                new SectionContent(section, version.version(), version.team(), SectionYaml.toValues(found)),
                List.of(
                        "# version " + version.version() + ", team " + version.team(),
                        SectionYaml.toYaml(found).stripTrailing()));
    }

    private record SectionSummary(String section, long version, String team, int entries) {}

    private record SectionContent(String section, long version, String team, Map<String, Object> entries) {}
}
