package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.List;

import org.redwinghook.runtime.process.ExitCode;

/**
 * Report on a change of the configuration, printed as JSON or as lines.
 *
 * @param sections result for each section
 * @param offset log offset that processes had to confirm, 0 if nothing was accepted
 * @param confirmation whether the processes confirmed the offset
 * @param unconfirmed processes that have not confirmed the offset
 * @param notes further lines about the change
 */
public record ChangeReport(
        List<SectionResult> sections,
        long offset,
        ConfirmationState confirmation,
        List<UnconfirmedProcess> unconfirmed,
        List<String> notes) {

    /** Whether processes confirmed a change. */
    public enum ConfirmationState {
        /** No process was asked. */
        NOT_ASKED,
        /** All processes of the VM list confirmed the change. */
        ALL,
        /** At least one process did not confirm the change in time. */
        PARTIAL,
        /** No process was asked because the VM list could not be read. */
        NO_VM_LIST
    }

    public ChangeReport {
        sections = List.copyOf(sections);
        unconfirmed = List.copyOf(unconfirmed);
        notes = List.copyOf(notes);
    }

    /**
     * Creates a report before any process is asked to confirm.
     *
     * @param sections result for each section
     * @return the report
     */
    public static ChangeReport of(List<SectionResult> sections) {
        long highestVersion = sections.stream()
                .filter(section -> section.outcome() == SectionResult.Outcome.ACCEPTED)
                .mapToLong(SectionResult::version)
                .max()
                .orElse(0);
        return new ChangeReport(sections, highestVersion, ConfirmationState.NOT_ASKED, List.of(), List.of());
    }

    /**
     * Returns this report with another state of the confirmation.
     *
     * @param state the state
     * @return the changed copy
     */
    public ChangeReport withConfirmation(ConfirmationState state) {
        return new ChangeReport(sections, offset, state, unconfirmed, notes);
    }

    /**
     * Returns this report with additional unconfirmed processes.
     *
     * @param unconfirmedProcesses processes to add
     * @return the changed copy
     */
    public ChangeReport withUnconfirmed(List<UnconfirmedProcess> unconfirmedProcesses) {
        List<UnconfirmedProcess> all = new ArrayList<>(unconfirmed);
        all.addAll(unconfirmedProcesses);
        return new ChangeReport(sections, offset, confirmation, all, notes);
    }

    /**
     * Returns this report with an additional note.
     *
     * @param note line to add
     * @return the changed copy
     */
    public ChangeReport withNote(String note) {
        List<String> all = new ArrayList<>(notes);
        all.add(note);
        return new ChangeReport(sections, offset, confirmation, unconfirmed, all);
    }

    /**
     * Converts the report to the result of the command. The exit code is that of the first section that failed; a
     * missing confirmation sets it only if no section failed.
     *
     * @return the result
     */
    public CommandResult toCommandResult() {
        List<String> lines = new ArrayList<>();
        List<String> problems = new ArrayList<>();
        ExitCode code = ExitCode.DONE;
        for (SectionResult section : sections) {
            boolean isSuccess = section.outcome().exitCode() == ExitCode.DONE;
            (isSuccess ? lines : problems).add(section.describe());
            code = code == ExitCode.DONE ? section.outcome().exitCode() : code;
        }
        if (confirmation == ConfirmationState.ALL) {
            lines.add("confirmed by all processes of the VM list");
        }
        unconfirmed.forEach(process -> problems.add(process.toString()));
        problems.addAll(notes);
        boolean isConfirmed = unconfirmed.isEmpty() && confirmation != ConfirmationState.NO_VM_LIST;
        return new CommandResult(
                code == ExitCode.DONE && !isConfirmed ? ExitCode.UNCONFIRMED : code, this, lines, problems);
    }
}
