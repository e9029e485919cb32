package org.redwinghook.core.message;

/** What an executor says about an attempt of its own. */
public enum KeyStage {
    /** Waits for the log or runs; ask again. */
    RUNNING,
    /** The service answered. */
    DONE,
    /** Not run and never will be. */
    NOT_RUN,
    /** May have run, or is not known. */
    UNKNOWN
}
