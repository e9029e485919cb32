package org.redwinghook.runtime.process;

/** Exit codes of all binaries. */
public enum ExitCode {
    /** Success. */
    DONE(0),
    /** The operation failed. */
    FAILED(1),
    /** The command line is invalid. */
    USAGE(2),
    /** The settings or the document contain errors. */
    FINDINGS(3),
    /** Another operator's change was accepted first. */
    CONFLICT(4),
    /** Accepted, but not every process has confirmed it. */
    UNCONFIRMED(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit status for the operating system.
     *
     * @return the exit status
     */
    public int number() {
        return number;
    }
}
