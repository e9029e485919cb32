package org.redwinghook.experiments;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Command-line options of redwinghook-experiment. */
public final class ExperimentOptions {

    @Argument(index = 0, metaVar = "EXPERIMENT", required = true, usage = "experiment to run: policy")
    private String experiment = "";

    @Option(name = "--seed", metaVar = "N", usage = "seed of the traces")
    private long seed = 1;

    @Option(name = "--plots", metaVar = "DIR", usage = "directory for plots as PNG")
    private @Nullable String plotDirectory;

    @Option(name = "--help", help = true, usage = "print this text")
    private boolean isHelpRequested;

    /**
     * Experiment to run.
     *
     * @return name of the experiment
     */
    public String experiment() {
        return experiment;
    }

    /**
     * Seed of the random traces.
     *
     * @return the seed
     */
    public long seed() {
        return seed;
    }

    /**
     * Directory for plots.
     *
     * @return the directory, or null if no plots are written
     */
    public @Nullable String plotDirectory() {
        return plotDirectory;
    }

    /**
     * Whether to print the usage and exit.
     *
     * @return true if {@code --help} is given
     */
    public boolean isHelpRequested() {
        return isHelpRequested;
    }
}
