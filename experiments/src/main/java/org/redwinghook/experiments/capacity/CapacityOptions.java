package org.redwinghook.experiments.capacity;

import java.nio.file.Path;

import org.kohsuke.args4j.Option;

/** Command line of the measurement. */
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
     * Place for settings and output of the processes.
     *
     * @return the directory
     */
    public Path directory() {
        return directory;
    }

    /**
     * What is measured.
     *
     * @return the part
     */
    public CapacityPart part() {
        return part;
    }

    /**
     * Whether to print help.
     *
     * @return true to print help and exit
     */
    public boolean isHelpRequested() {
        return isHelpRequested;
    }
}
