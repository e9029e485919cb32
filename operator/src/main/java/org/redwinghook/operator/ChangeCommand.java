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

/** A command that changes the configuration and waits until the processes have the change. */
public abstract class ChangeCommand extends PlatformCommand {

    private static final long USUAL_WAIT_SECONDS = 7;

    @Option(name = "--team", metaVar = "TEAM", required = true, usage = "team that owns what is changed")
    private String team = "";

    @Option(
            name = "--wait",
            metaVar = "SECONDS",
            usage = "time for all processes of the VM list to confirm the change; 0 does not ask them")
    private long waitSeconds = USUAL_WAIT_SECONDS;

    @Override
    protected final CommandResult run(OperatorSession session, Address log, @Nullable Address vmList) {
        if (team.isBlank() || waitSeconds < 0) {
            return CommandResult.problem(
                    ExitCode.USAGE, "redwinghook: --team must not be blank and --wait not negative");
        }
        ConfigurationPublisher publisher = session.publisher(log);
        return change(session, publisher)
                .map(report -> confirmed(session, report, vmList))
                .fold(problem -> problem, ChangeReport::result);
    }

    /**
     * Makes the change.
     *
     * @param session runs the clients
     * @param publisher the log
     * @return what became of it, or the command's result if nothing was appended
     */
    protected abstract Either<CommandResult, ChangeReport> change(
            OperatorSession session, ConfigurationPublisher publisher);

    /**
     * Team that makes the change.
     *
     * @return the team
     */
    protected final String team() {
        return team;
    }

    /**
     * Reads the log to its end.
     *
     * @param session runs the clients
     * @param publisher the log
     * @return what the log says, or the command's result if it cannot be read
     */
    protected static Either<CommandResult, ConfigurationFold> present(
            OperatorSession session, ConfigurationPublisher publisher) {
        return session.await(publisher::read)
                .mapLeft(problem -> CommandResult.problem(
                        ExitCode.FAILED, "redwinghook: the log cannot be read, nothing was changed: " + problem));
    }

    /**
     * All sections in force.
     *
     * @param fold what the log says
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
     * The change that gives a section its wanted entries.
     *
     * @param before the section that it replaces, null if absent
     * @param replaces version of that section
     * @param wanted the wanted section
     * @return the change, with differing entries only
     */
    protected final SectionChange delta(@Nullable Section before, long replaces, Section wanted) {
        Map<String, String> put = before == null ? wanted.texts() : before.entriesToPut(wanted.texts());
        List<String> remove = before == null ? List.of() : before.entriesToRemove(wanted.texts());
        String author = System.getProperty("user.name", "unknown");
        return new SectionChange(
                wanted.name(), team, replaces, UUID.randomUUID().toString(), author, put, remove);
    }

    /**
     * Whether a section has its wanted entries already.
     *
     * @param before the section in force, null if absent
     * @param wanted the wanted section
     * @return true if they are the same
     */
    protected static boolean isSame(@Nullable Section before, Section wanted) {
        return before != null && before.texts().equals(wanted.texts());
    }

    /**
     * Publishes a change.
     *
     * @param session runs the clients
     * @param publisher the log
     * @param change the change
     * @return what became of it
     */
    protected static SectionResult publish(
            OperatorSession session, ConfigurationPublisher publisher, SectionChange change) {
        return SectionResult.of(
                change.section(),
                session.await(() -> publisher.publish(change)).getOrElseGet(PublishResult.Unknown::new));
    }

    private ChangeReport confirmed(OperatorSession session, ChangeReport report, @Nullable Address vmList) {
        if (report.offset() == 0 || waitSeconds == 0) {
            return report;
        }
        if (vmList == null) {
            return report.withNote(
                    "no process was asked to confirm: --vm-list or --settings tells where the VM list is");
        }
        VmListClient list = new VmListClient(session.vertx(), vmList);
        Either<String, List<Member>> members = session.await(list::read);
        if (members.isLeft()) {
            return report.withConfirmation(ChangeReport.ConfirmationState.NO_VM_LIST)
                    .withNote("no process was asked to confirm: the VM list cannot be read: " + members.getLeft());
        }
        Confirmation confirmation =
                new Confirmation(session.vertx(), report.offset(), TimeUnit.SECONDS.toMillis(waitSeconds));
        List<Unconfirmed> missing = session.await(() -> confirmation.await(members.get()))
                .getOrElseGet(problem -> List.of(new Unconfirmed("all", "all", vmList.toString(), problem)));
        return report.withUnconfirmed(missing)
                .withConfirmation(
                        missing.isEmpty()
                                ? ChangeReport.ConfirmationState.ALL
                                : ChangeReport.ConfirmationState.PARTIAL);
    }
}
