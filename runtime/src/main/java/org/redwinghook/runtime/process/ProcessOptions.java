package org.redwinghook.runtime.process;

import java.nio.file.Path;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;

/** Command line of a process that runs until it is told to stop. */
public final class ProcessOptions {

    @Option(name = "--settings", metaVar = "FILE", required = true, usage = "YAML file with the settings")
    private @Nullable Path settings;

    @Option(name = "--check", usage = "check the settings and exit")
    private boolean check;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    /**
     * File with the settings.
     *
     * @return the file, null only with --help
     */
    public @Nullable Path settings() {
        return settings;
    }

    /**
     * Whether to check the settings only.
     *
     * @return true to exit after the check
     */
    public boolean check() {
        return check;
    }

    /**
     * Whether to print help.
     *
     * @return true to print help and exit
     */
    public boolean help() {
        return help;
    }
}
