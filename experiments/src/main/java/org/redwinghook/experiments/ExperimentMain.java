package org.redwinghook.experiments;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.experiments.policy.PolicyExperiment;

/** Entry point of the binary redwinghook-experiment. */
public final class ExperimentMain {

    private static final int USAGE = 2;
    private static final String POLICY = "policy";

    private ExperimentMain() {}

    /**
     * Runs an experiment and prints its report.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ExperimentOptions options = new ExperimentOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            fail(parser, exception.getMessage());
        }
        if (options.help()) {
            parser.printUsage(System.out);
            return;
        }
        if (!POLICY.equals(options.experiment())) {
            fail(parser, "unknown experiment '" + options.experiment() + "'");
        }
        System.out.print(new PolicyExperiment(options.seed()).report());
    }

    private static void fail(CmdLineParser parser, String problem) {
        System.err.println("redwinghook-experiment: " + problem);
        parser.printUsage(System.err);
        System.exit(USAGE);
    }
}
