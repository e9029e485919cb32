package org.redwinghook.operator;

import org.kohsuke.args4j.Option;

/** A sub-command with its options. */
public abstract class Command {

    @Option(name = "--json", usage = "print the result as one JSON object")
    private boolean json;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    /**
     * The command line in one line.
     *
     * @return the sub-command with its arguments
     */
    public abstract String synopsis();

    /**
     * Runs the command.
     *
     * @param session runs the clients
     * @return how it ended
     */
    public abstract CommandResult run(OperatorSession session);

    /**
     * Whether to print JSON.
     *
     * @return true for JSON
     */
    public final boolean json() {
        return json;
    }

    /**
     * Whether to print help.
     *
     * @return true to print help and exit
     */
    public final boolean help() {
        return help;
    }
}
