package org.redwinghook.standins;

import java.io.PrintStream;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.runtime.process.ExitCode;

/** Entry point of the binary redwinghook-stand-in. */
public final class StandInMain {

    private static final String BINARY = "redwinghook-stand-in";

    private StandInMain() {}

    /**
     * Runs a stand-in until the process is ended.
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
     * Starts a stand-in or prints help.
     *
     * @param vertx makes what runs it; not called for help and wrong command lines
     * @param out receives help
     * @param errors receives what is wrong
     * @param arguments the command line
     * @return how the start ended
     */
    public static ExitCode run(Supplier<Vertx> vertx, PrintStream out, PrintStream errors, String... arguments) {
        StandInOptions options = new StandInOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            errors.println(BINARY + ": " + exception.getMessage());
            exception.getParser().printUsage(errors);
            return ExitCode.USAGE;
        }
        KindOptions kind = options.kind();
        if (options.help() || kind == null || kind.help()) {
            out.println("usage: " + BINARY + " --kind KIND --port PORT [OPTION...]");
            (kind == null ? parser : new CmdLineParser(kind)).printUsage(out);
            return ExitCode.DONE;
        }
        return start(vertx.get(), errors, kind);
    }

    private static ExitCode start(Vertx vertx, PrintStream errors, KindOptions kind) {
        try {
            kind.create(vertx).start().await();
            return ExitCode.DONE;
        } catch (IllegalArgumentException exception) {
            errors.println(BINARY + ": " + exception.getMessage());
            vertx.close();
            return ExitCode.USAGE;
        } catch (Exception exception) {
            // Vert.x rethrows checked exceptions, such as a failure to bind, without declaring them.
            errors.println(BINARY + ": cannot listen on port " + kind.port() + ": " + exception.getMessage());
            vertx.close();
            return ExitCode.FAILED;
        }
    }
}
