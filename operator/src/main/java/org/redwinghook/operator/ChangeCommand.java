package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.redwinghook.core.config.ConfigurationFold;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.SectionChange;
import org.redwinghook.core.membership.Member;
import org.redwinghook.runtime.config.ConfigurationPublisher;
import org.redwinghook.runtime.config.PublishResult;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.runtime.settings.Address;

/** A command that changes the configuration and waits until all processes confirm the change. */
public abstract class ChangeCommand extends PlatformCommand {

    private static final long DEFAULT_WAIT_SECONDS = 7;

    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "team that owns the changed sections")
    private String team = "";

    @Option(
            name = "--wait",
            metaVar = "SECONDS",
            usage = "time to wait until all processes of the VM list confirm the change; 0 does not ask them")
    private long waitSeconds = DEFAULT_WAIT_SECONDS;

    @Override
    protected final CommandResult run(OperatorSession session, Address logAddress, @Nullable Address vmListAddress) {
        if (team.isBlank() || waitSeconds < 0) {
            return CommandResult.problem(
                    ExitCode.USAGE, "redwinghook: --team must not be blank and --wait not negative");
        }
        ConfigurationPublisher publisher = session.createPublisher(logAddress);
        return change(session, publisher)
                .map(report -> awaitConfirmation(session, report, vmListAddress))
                .fold(problem -> problem, ChangeReport::toCommandResult);
    }

    /**
     * Changes the configuration.
     *
     * @param session session that runs the clients
     * @param publisher publisher of changes
     * @return report on the change, or the result of the command if nothing was appended
     */
    protected abstract Either<CommandResult, ChangeReport> change(
            OperatorSession session, ConfigurationPublisher publisher);

    /**
     * Team that makes the change.
     *
     * @return name of the team
     */
    protected final String team() {
        return team;
    }

    /**
     * Reads the log to its end.
     *
     * @param session session that runs the clients
     * @param publisher publisher that reads the log
     * @return the state of all sections on the log, or the result of the command if the log cannot be read
     */
    protected static Either<CommandResult, ConfigurationFold> readFold(
            OperatorSession session, ConfigurationPublisher publisher) {
        return session.await(publisher::read)
                .mapLeft(problem -> CommandResult.problem(
                        ExitCode.FAILED, "redwinghook: the log cannot be read, nothing was changed: " + problem));
    }

    /**
     * Sections in force.
     *
     * @param fold state read from the log
     * @return the sections
     */
    protected static List<Section> sections(ConfigurationFold fold) {
        List<Section> sections = new ArrayList<>();
        fold.sectionStates().forEach(state -> {
            Section section = fold.section(state.section());
            if (section != null) {
                sections.add(section);
            }
        });
        return sections;
    }

    /**
     * Creates the change that gives a section the wanted entries.
     *
     * @param existing section to replace, null if absent
     * @param replacedVersion version of that section
     * @param wanted section with the wanted entries
     * @return the change, with only the entries that differ
     */
    protected final SectionChange createChange(@Nullable Section existing, long replacedVersion, Section wanted) {
        Map<String, String> put = existing == null ? wanted.texts() : existing.entriesToPut(wanted.texts());
        List<String> remove = existing == null ? List.of() : existing.entriesToRemove(wanted.texts());
        String author = System.getProperty("user.name", "unknown");
        return new SectionChange(
                wanted.name(), team, replacedVersion, UUID.randomUUID().toString(), author, put, remove);
    }

    /**
     * Whether a section already has the wanted entries.
     *
     * @param existing section in force, null if absent
     * @param wanted section with the wanted entries
     * @return true if the entries are equal
     */
    protected static boolean hasSameEntries(@Nullable Section existing, Section wanted) {
        return existing != null && existing.texts().equals(wanted.texts());
    }

    /**
     * Publishes a change.
     *
     * @param session session that runs the clients
     * @param publisher publisher of changes
     * @param change the change
     * @return result for the section
     */
    protected static SectionResult publish(
            OperatorSession session, ConfigurationPublisher publisher, SectionChange change) {
        return SectionResult.of(
                change.section(),
                session.await(() -> publisher.publish(change)).getOrElseGet(PublishResult.Unknown::new));
    }

    private ChangeReport awaitConfirmation(
            OperatorSession session, ChangeReport report, @Nullable Address vmListAddress) {
        if (report.offset() == 0 || waitSeconds == 0) {
            return report;
        }
        if (vmListAddress == null) {
            return report.withNote(
                    "no process was asked to confirm: the address of the VM list is needed: --vm-list or --settings");
        }
        VmListClient client = new VmListClient(session.vertx(), vmListAddress);
        Either<String, List<Member>> members = session.await(client::read);
        if (members.isLeft()) {
            return report.withConfirmation(ChangeReport.ConfirmationState.NO_VM_LIST)
                    .withNote("no process was asked to confirm: the VM list cannot be read: " + members.getLeft());
        }
        ConfirmationPoller poller =
                new ConfirmationPoller(session.vertx(), report.offset(), TimeUnit.SECONDS.toMillis(waitSeconds));
        List<UnconfirmedProcess> unconfirmed = session.await(() -> poller.awaitAll(members.get()))
                .getOrElseGet(
                        problem -> List.of(new UnconfirmedProcess("all", "all", vmListAddress.toString(), problem)));
        return report.withUnconfirmed(unconfirmed)
                .withConfirmation(
                        unconfirmed.isEmpty()
                                ? ChangeReport.ConfirmationState.ALL
                                : ChangeReport.ConfirmationState.PARTIAL);
    }
}
