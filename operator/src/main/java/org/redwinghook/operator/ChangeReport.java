package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.List;

import org.redwinghook.runtime.process.ExitCode;

/**
 * What a change did, for {@code --json} and for lines.
 *
 * @param sections what became of each section
 * @param offset offset that processes had to confirm, 0 if nothing was accepted
 * @param confirmation how far the processes confirmed it
 * @param unconfirmed processes that have not confirmed it
 * @param notes further lines about the change
 */
public record ChangeReport(
        List<SectionResult> sections,
        long offset,
        ConfirmationState confirmation,
        List<UnconfirmedProcess> unconfirmed,
        List<String> notes) {

    /** How far a change is confirmed. */
    public enum ConfirmationState {
        /** No process was asked. */
        NOT_ASKED,
        /** All processes of the VM list have the change. */
        ALL,
        /** Some processes have not confirmed the change in time. */
        PARTIAL,
        /** The VM list could not be read, so nobody was asked. */
        NO_VM_LIST
    }

    public ChangeReport {
        sections = List.copyOf(sections);
        unconfirmed = List.copyOf(unconfirmed);
        notes = List.copyOf(notes);
    }

    /**
     * A report before any process was asked.
     *
     * @param sections what became of each section
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
     * This report with how far processes were asked.
     *
     * @param state how far they were
     * @return the report
     */
    public ChangeReport withConfirmation(ConfirmationState state) {
        return new ChangeReport(sections, offset, state, unconfirmed, notes);
    }

    /**
     * This report with processes that have not confirmed the change.
     *
     * @param unconfirmedProcesses the processes
     * @return the report
     */
    public ChangeReport withUnconfirmed(List<UnconfirmedProcess> unconfirmedProcesses) {
        List<UnconfirmedProcess> all = new ArrayList<>(unconfirmed);
        all.addAll(unconfirmedProcesses);
        return new ChangeReport(sections, offset, confirmation, all, notes);
    }

    /**
     * This report with a further line.
     *
     * @param note the line
     * @return the report
     */
    public ChangeReport withNote(String note) {
        List<String> all = new ArrayList<>(notes);
        all.add(note);
        return new ChangeReport(sections, offset, confirmation, unconfirmed, all);
    }

    /**
     * Makes the command's result.
     *
     * @return the result; a section that failed counts more than a missing confirmation
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
