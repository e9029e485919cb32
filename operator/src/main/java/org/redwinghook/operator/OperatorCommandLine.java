package org.redwinghook.operator;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.vertx.core.Vertx;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.runtime.process.ExitCode;

/** Parses a command line, runs its sub-command and prints the result. */
public final class OperatorCommandLine {

    private static final String PROGRAM_NAME = "redwinghook";
    private static final String JSON_OPTION = "--json";

    private final Vertx vertx;
    private final PrintStream output;
    private final PrintStream errorOutput;
    private final ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    /**
     * Creates a command line.
     *
     * @param vertx Vert.x instance that runs the clients
     * @param output stream for results, help and JSON
     * @param errorOutput stream for problems, not used with {@code --json}
     */
    public OperatorCommandLine(Vertx vertx, PrintStream output, PrintStream errorOutput) {
        this.vertx = vertx;
        this.output = output;
        this.errorOutput = errorOutput;
    }

    /**
     * Runs one command.
     *
     * @param arguments the command line
     * @return its exit code
     */
    public ExitCode run(String... arguments) {
        OperatorOptions options = new OperatorOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            return reportUsageError(exception, Arrays.asList(arguments).contains(JSON_OPTION));
        }
        Command command = options.command();
        if (command == null) {
            printHelp(PROGRAM_NAME + " COMMAND [OPTION...]", parser);
            return ExitCode.DONE;
        }
        if (command.isHelpRequested()) {
            printHelp(PROGRAM_NAME + " " + command.synopsis(), new CmdLineParser(command));
            return ExitCode.DONE;
        }
        return print(command.run(new OperatorSession(vertx)), command.isJsonRequested());
    }

    private ExitCode reportUsageError(CmdLineException exception, boolean json) {
        CommandResult result = CommandResult.problem(ExitCode.USAGE, PROGRAM_NAME + ": " + exception.getMessage());
        ExitCode code = print(result, json);
        if (!json) {
            exception.getParser().printUsage(errorOutput);
        }
        return code;
    }

    private void printHelp(String usage, CmdLineParser parser) {
        output.println("usage: " + usage);
        parser.printUsage(output);
    }

    private ExitCode print(CommandResult result, boolean json) {
        if (!json) {
            result.lines().forEach(output::println);
            result.problems().forEach(errorOutput::println);
            return result.code();
        }
        try {
            output.println(
                    mapper.writeValueAsString(new JsonOutput(result.code(), result.result(), result.problems())));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot write the result as JSON", exception);
        }
        return result.code();
    }

    private record JsonOutput(ExitCode code, Object result, List<String> problems) {}
}
