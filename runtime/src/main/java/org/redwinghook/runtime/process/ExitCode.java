package org.redwinghook.runtime.process;

/** Exit codes of all binaries. */
public enum ExitCode {
    /** Done. */
    DONE(0),
    /** The work was tried and failed. */
    FAILED(1),
    /** The command line is wrong. */
    USAGE(2),
    /** The settings or the document have findings. */
    FINDINGS(3),
    /** Another operator's change came first. */
    CONFLICT(4),
    /** Accepted, but not every process has confirmed it. */
    UNCONFIRMED(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Number for the operating system.
     *
     * @return the number
     */
    public int number() {
        return number;
    }
}
