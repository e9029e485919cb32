package org.redwinghook.experiments.capacity;

import java.nio.file.Path;

import org.kohsuke.args4j.Option;

/** Command-line options of redwinghook-capacity. */
public final class CapacityOptions {

    @Option(name = "--page", metaVar = "FILE", usage = "page whose tables are rewritten")
    private Path page = Path.of("docs", "CAPACITY.md");

    @Option(name = "--directory", metaVar = "DIRECTORY", usage = "receives settings and output of the processes")
    private Path directory = Path.of("distribution", "target", "capacity");

    @Option(name = "--part", metaVar = "PART", usage = "control, spread or streams; each takes up to three minutes")
    private CapacityPart part = CapacityPart.CONTROL;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean isHelpRequested;

    /**
     * Page whose tables are rewritten.
     *
     * @return the file
     */
    public Path page() {
        return page;
    }

    /**
     * Directory for the settings and output files of the processes.
     *
     * @return the directory
     */
    public Path directory() {
        return directory;
    }

    /**
     * Part of the measurement to run.
     *
     * @return the part
     */
    public CapacityPart part() {
        return part;
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
