package org.redwinghook.core.message;

/** Stage of an attempt to run a keyed call, as reported by its executor. */
public enum KeyStage {
    /** Waiting for the log or running; the question must be repeated. */
    RUNNING,
    /** The service answered. */
    DONE,
    /** Was not run and will not be. */
    NOT_RUN,
    /** May have run, or is unknown to the executor. */
    UNKNOWN
}
