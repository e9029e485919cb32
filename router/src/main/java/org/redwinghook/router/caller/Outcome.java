package org.redwinghook.router.caller;

/** Outcome of a request, reported to the caller in the header Redwinghook-Outcome. */
public enum Outcome {
    /** The request ran, and the response contains its whole answer. */
    DONE("done"),
    /** The request is running and its events follow. Only the final data line [DONE] marks the answer as complete. */
    STREAMING("streaming"),
    /** The request was not run and may be retried. */
    NOT_RUN("not-run"),
    /** The request may or may not have run. */
    UNKNOWN("unknown");

    /** Name of the header. */
    public static final String HEADER = "Redwinghook-Outcome";

    private final String headerValue;

    Outcome(String headerValue) {
        this.headerValue = headerValue;
    }

    /**
     * Returns the value of the header.
     *
     * @return the value
     */
    public String headerValue() {
        return headerValue;
    }
}
