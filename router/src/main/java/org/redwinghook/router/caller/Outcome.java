package org.redwinghook.router.caller;

/** What a caller is told about its request in the header Redwinghook-Outcome. */
public enum Outcome {
    /** The request ran, and the response is its whole answer. */
    DONE("done"),
    /** The request runs. Its events follow, and only the final data line [DONE] says that the answer is whole. */
    STREAMING("streaming"),
    /** The request was not run and may be sent again. */
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
     * Value of the header.
     *
     * @return the value
     */
    public String headerValue() {
        return headerValue;
    }
}
