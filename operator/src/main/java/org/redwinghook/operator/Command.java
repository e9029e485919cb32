package org.redwinghook.operator;

import org.kohsuke.args4j.Option;

/** A sub-command and the options that all sub-commands share. */
public abstract class Command {

    @Option(name = "--json", usage = "print the result as one JSON object")
    private boolean isJsonRequested;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean isHelpRequested;

    /**
     * Synopsis for the help text.
     *
     * @return the sub-command with its arguments, on one line
     */
    public abstract String synopsis();

    /**
     * Runs the command.
     *
     * @param session session that runs the clients
     * @return the result
     */
    public abstract CommandResult run(OperatorSession session);

    /**
     * Whether to print the result as JSON.
     *
     * @return true for JSON, false for lines of text
     */
    public final boolean isJsonRequested() {
        return isJsonRequested;
    }

    /**
     * Whether to print help.
     *
     * @return true to print help and exit
     */
    public final boolean isHelpRequested() {
        return isHelpRequested;
    }
}
