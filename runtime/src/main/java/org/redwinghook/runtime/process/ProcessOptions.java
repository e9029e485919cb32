package org.redwinghook.runtime.process;

import java.nio.file.Path;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Command-line options of a process that runs until it receives a signal to stop. */
public final class ProcessOptions {

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "YAML file with the settings")
    private @Nullable Path settings;

    @Option(name = "--check", usage = "check the settings and exit")
    private boolean check;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean isHelpRequested;

    /**
     * Returns the settings file.
     *
     * @return the file, null only with --help
     */
    public @Nullable Path settings() {
        return settings;
    }

    /**
     * Returns whether only to check the settings.
     *
     * @return true to exit after the check
     */
    public boolean check() {
        return check;
    }

    /**
     * Returns whether to print help.
     *
     * @return true to print help and exit
     */
    public boolean isHelpRequested() {
        return isHelpRequested;
    }
}
