package org.redwinghook.operator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import org.kohsuke.args4j.Argument;
import org.redwinghook.core.config.Availability;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.ConfigurationFold;
import org.redwinghook.core.config.PlaceKind;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.SectionChange;
import org.redwinghook.core.config.SectionKind;
import org.redwinghook.runtime.config.ConfigurationPublisher;
import org.redwinghook.runtime.process.ExitCode;

/** A command that changes the availability of a data centre or a VM. */
public abstract class AvailabilityCommand extends ChangeCommand {

    /** The kinds of places as operands of the command line. */
    public enum PlaceOperand {
        /** A data centre. */
        DATA_CENTRE(PlaceKind.DATA_CENTRE),
        /** A VM. */
        VM(PlaceKind.VM);

        private final PlaceKind kind;

        PlaceOperand(PlaceKind kind) {
            this.kind = kind;
        }

        // args4j matches operands against this text, ignoring case.
        @Override
        public String toString() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    @Argument(index = 0, metaVar = "KIND", required = true, usage = "data-centre or vm")
    private PlaceOperand place = PlaceOperand.DATA_CENTRE;

    @Argument(index = 1, metaVar = "NAME", required = true, usage = "name of the data centre or VM")
    private String name = "";

    /**
     * Availability that the command sets.
     *
     * @return the availability
     */
    protected abstract Availability targetAvailability();

    /**
     * Runs after the attempt to change the section and before processes are asked to confirm the change.
     *
     * @param session session that runs the clients
     * @param result result for the section
     * @param report report on the change
     * @return the report, with notes and unconfirmed processes that this method adds
     */
    protected abstract ChangeReport afterChange(OperatorSession session, SectionResult result, ChangeReport report);

    /**
     * Kind of the place.
     *
     * @return the kind
     */
    protected final PlaceKind kind() {
        return place.kind;
    }

    /**
     * Name of the place.
     *
     * @return the name
     */
    protected final String name() {
        return name;
    }

    @Override
    protected final Either<CommandResult, ChangeReport> change(
            OperatorSession session, ConfigurationPublisher publisher) {
        Either<CommandResult, ConfigurationFold> fold = readFold(session, publisher);
        if (fold.isLeft()) {
            SectionResult unknown = new SectionResult(
                    sectionName(),
                    SectionResult.Outcome.UNKNOWN,
                    0,
                    "",
                    List.of(),
                    "the log cannot be read, so nothing was appended");
            return Either.right(afterChange(session, unknown, ChangeReport.of(List.of(unknown))));
        }
        if (isUnknownDataCentre(fold.get().configuration())) {
            return Either.left(CommandResult.problem(
                    ExitCode.FINDINGS,
                    "redwinghook: section places has no data centre " + name + "; nothing was changed"));
        }
        SectionResult result = setAvailability(session, publisher, fold.get());
        ChangeReport report = ChangeReport.of(List.of(result));
        if (result.outcome() == SectionResult.Outcome.CONFLICT) {
            report = report.withNote(place + " " + name + " is now " + readAvailability(session, publisher));
        }
        return Either.right(afterChange(session, result, report));
    }

    private SectionResult setAvailability(
            OperatorSession session, ConfigurationPublisher publisher, ConfigurationFold fold) {
        Section existing = fold.section(sectionName());
        String value = "\"" + toText(targetAvailability()) + "\"";
        Map<String, String> entries = new HashMap<>(existing == null ? Map.of() : existing.texts());
        entries.put(kind().key(), value);
        Section wanted = Section.read(sectionName(), entries).get();
        long version = fold.version(sectionName()).version();
        if (hasSameEntries(existing, wanted)) {
            return SectionResult.unchanged(sectionName(), version);
        }
        SectionChange change = createChange(existing, version, wanted);
        return publish(session, publisher, change);
    }

    private String sectionName() {
        return SectionKind.AVAILABILITY.sectionName(name);
    }

    private boolean isUnknownDataCentre(Configuration configuration) {
        return kind() == PlaceKind.DATA_CENTRE && !configuration.dataCentres().containsKey(name);
    }

    private String readAvailability(OperatorSession session, ConfigurationPublisher publisher) {
        return session.await(publisher::read)
                .map(fold -> findAvailability(fold.configuration()))
                .map(AvailabilityCommand::toText)
                .getOrElse("in an unknown state");
    }

    private Availability findAvailability(Configuration configuration) {
        Map<String, Availability> availabilities = kind() == PlaceKind.DATA_CENTRE
                ? configuration.dataCentreAvailability()
                : configuration.vmAvailability();
        return availabilities.getOrDefault(name, Availability.IN);
    }

    private static String toText(Availability availability) {
        return availability.name().toLowerCase(java.util.Locale.ROOT);
    }
}
