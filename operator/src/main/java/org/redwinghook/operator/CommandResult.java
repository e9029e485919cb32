package org.redwinghook.operator;

import java.util.List;

import org.redwinghook.core.document.Finding;
import org.redwinghook.runtime.process.ExitCode;

/**
 * Result of a command.
 *
 * @param code exit code of the command
 * @param result value that {@code --json} prints as {@code result}
 * @param lines lines for standard output, not printed with {@code --json}
 * @param problems lines for standard error; with {@code --json} they are part of the JSON object instead
 */
public record CommandResult(ExitCode code, Object result, List<String> lines, List<String> problems) {

    public CommandResult {
        lines = List.copyOf(lines);
        problems = List.copyOf(problems);
    }

    /**
     * Creates the result of a command that succeeded.
     *
     * @param result value that {@code --json} prints
     * @param lines lines for standard output
     * @return the result
     */
    public static CommandResult done(Object result, List<String> lines) {
        return new CommandResult(ExitCode.DONE, result, lines, List.of());
    }

    /**
     * Creates the result of a command that stopped because of one problem.
     *
     * @param code exit code
     * @param problem line for standard error
     * @return the result
     */
    public static CommandResult problem(ExitCode code, String problem) {
        return new CommandResult(code, List.of(), List.of(), List.of(problem));
    }

    /**
     * Creates the result of a command whose input is not valid.
     *
     * @param findings all findings
     * @return the result
     */
    public static CommandResult findings(List<Finding> findings) {
        List<String> problems = findings.stream().map(Finding::toString).toList();
        return new CommandResult(ExitCode.FINDINGS, findings, List.of(), problems);
    }
}
