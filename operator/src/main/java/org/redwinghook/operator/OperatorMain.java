package org.redwinghook.operator;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.runtime.process.ExitCode;

/** Entry point of the binary redwinghook. */
public final class OperatorMain {

    private OperatorMain() {}

    /**
     * Runs one command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments).number());
    }

    private static ExitCode run(String... arguments) {
        PublishOptions options = new PublishOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            System.err.println("redwinghook: " + exception.getMessage());
            parser.printUsage(System.err);
            return ExitCode.USAGE;
        }
        if (options.help()) {
            System.out.println("usage: redwinghook publish --log HOST:PORT --file FILE --team TEAM");
            parser.printUsage(System.out);
            return ExitCode.DONE;
        }
        if (!"publish".equals(options.command()) || options.log() == null) {
            System.err.println("redwinghook: expected publish --log HOST:PORT --file FILE --team TEAM");
            return ExitCode.USAGE;
        }
        Vertx vertx = Vertx.vertx();
        try {
            return new PublishCommand(vertx, System.out, System.err).run(options);
        } finally {
            vertx.close().await();
        }
    }
}
