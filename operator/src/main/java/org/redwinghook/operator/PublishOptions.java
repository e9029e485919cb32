package org.redwinghook.operator;

import java.nio.file.Path;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.redwinghook.runtime.settings.Address;

/** Command line of the command publish. */
public final class PublishOptions {

    @Argument(metaVar = "COMMAND", usage = "publish")
    private String command = "";

    @Option(name = "--log", metaVar = "HOST:PORT", usage = "address of the log service")
    private String log = "";

    @Option(name = "--file", metaVar = "FILE", usage = "YAML document with the sections to publish")
    private Path file = Path.of("");

    @Option(name = "--team", metaVar = "TEAM", usage = "team that owns the sections")
    private String team = "";

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    /**
     * Name of the command.
     *
     * @return the name, empty if absent
     */
    public String command() {
        return command;
    }

    /**
     * Address of the log service.
     *
     * @return the address, null if absent or not of the form HOST:PORT
     */
    public @Nullable Address log() {
        int end = log.lastIndexOf(':');
        try {
            return end < 1 ? null : new Address(log.substring(0, end), Integer.parseInt(log.substring(end + 1)));
        } catch (NumberFormatException exception) {
            return null;
        }
    }

    /**
     * Document to publish.
     *
     * @return the file
     */
    public Path file() {
        return file;
    }

    /**
     * Team that owns the sections.
     *
     * @return the team, empty if absent
     */
    public String team() {
        return team;
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
