package org.redwinghook.experiments;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.experiments.policy.PolicyExperiment;

/** Entry point of the command redwinghook-experiment. */
public final class ExperimentMain {

    private static final int USAGE_EXIT_CODE = 2;
    private static final String POLICY_EXPERIMENT = "policy";

    private ExperimentMain() {}

    /**
     * Runs an experiment and prints its report.
     *
     * @param arguments the command line
     * @throws IOException if a plot cannot be written
     */
    public static void main(String[] arguments) throws IOException {
        ExperimentOptions options = new ExperimentOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            fail(parser, exception.getMessage());
        }
        if (options.isHelpRequested()) {
            parser.printUsage(System.out);
            return;
        }
        if (!POLICY_EXPERIMENT.equals(options.experiment())) {
            fail(parser, "unknown experiment '" + options.experiment() + "'");
        }
        Path plotDirectory = options.plotDirectory() == null ? null : Path.of(options.plotDirectory());
        new PrintStream(new FileOutputStream(FileDescriptor.out), true, StandardCharsets.UTF_8)
                .print(new PolicyExperiment(options.seed()).report(plotDirectory));
    }

    private static void fail(CmdLineParser parser, String problem) {
        System.err.println("redwinghook-experiment: " + problem);
        parser.printUsage(System.err);
        System.exit(USAGE_EXIT_CODE);
    }
}
