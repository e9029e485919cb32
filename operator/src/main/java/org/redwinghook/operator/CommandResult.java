package org.redwinghook.operator;

import java.util.List;

import org.redwinghook.core.document.Finding;
import org.redwinghook.runtime.process.ExitCode;

/**
 * How a command ended.
 *
 * @param code exit code of the command
 * @param result what {@code --json} prints as the result
 * @param lines lines for standard output without {@code --json}
 * @param problems lines for standard error; also part of the JSON form
 */
public record CommandResult(ExitCode code, Object result, List<String> lines, List<String> problems) {

    public CommandResult {
        lines = List.copyOf(lines);
        problems = List.copyOf(problems);
    }

    /**
     * A command that did what it was asked.
     *
     * @param result what {@code --json} prints
     * @param lines lines for standard output
     * @return the result
     */
    public static CommandResult done(Object result, List<String> lines) {
        return new CommandResult(ExitCode.DONE, result, lines, List.of());
    }

    /**
     * A command that ended early.
     *
     * @param code exit code
     * @param problem what is wrong
     * @return the result
     */
    public static CommandResult problem(ExitCode code, String problem) {
        return new CommandResult(code, List.of(), List.of(), List.of(problem));
    }

    /**
     * A document with findings.
     *
     * @param findings everything that is wrong
     * @return the result
     */
    public static CommandResult findings(List<Finding> findings) {
        List<String> problems = findings.stream().map(Finding::toString).toList();
        return new CommandResult(ExitCode.FINDINGS, findings, List.of(), problems);
    }
}
