package org.redwinghook.standins;

import java.io.PrintStream;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.runtime.process.ExitCode;

/** Entry point of the command redwinghook-stand-in. */
public final class StandInMain {

    private static final String BINARY = "redwinghook-stand-in";

    private StandInMain() {}

    /**
     * Runs a stand-in until the process ends.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ExitCode code = run(Vertx::vertx, System.out, System.err, arguments);
        if (code != ExitCode.DONE) {
            System.exit(code.number());
        }
    }

    /**
     * Parses the command line and starts a stand-in or prints help.
     *
     * @param vertxSupplier creates the Vert.x instance; not called for help or an invalid command line
     * @param out receives the help text
     * @param errorOutput receives error messages
     * @param arguments the command line
     * @return the exit code
     */
    public static ExitCode run(
            Supplier<Vertx> vertxSupplier, PrintStream out, PrintStream errorOutput, String... arguments) {
        StandInOptions options = new StandInOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            errorOutput.println(BINARY + ": " + exception.getMessage());
            exception.getParser().printUsage(errorOutput);
            return ExitCode.USAGE;
        }
        KindOptions kindOptions = options.kind();
        if (options.isHelpRequested() || kindOptions == null || kindOptions.isHelpRequested()) {
            out.println("usage: " + BINARY + " --kind KIND --port PORT [OPTION...]");
            (kindOptions == null ? parser : new CmdLineParser(kindOptions)).printUsage(out);
            return ExitCode.DONE;
        }
        return startStandIn(vertxSupplier.get(), errorOutput, kindOptions);
    }

    private static ExitCode startStandIn(Vertx vertx, PrintStream errorOutput, KindOptions kindOptions) {
        try {
            kindOptions.create(vertx).start().await();
            return ExitCode.DONE;
        } catch (IllegalArgumentException exception) {
            errorOutput.println(BINARY + ": " + exception.getMessage());
            vertx.close();
            return ExitCode.USAGE;
        } catch (Exception exception) {
            // Vert.x rethrows checked exceptions, such as a failure to bind, without declaring them.
            errorOutput.println(
                    BINARY + ": cannot listen on port " + kindOptions.port() + ": " + exception.getMessage());
            vertx.close();
            return ExitCode.FAILED;
        }
    }
}
