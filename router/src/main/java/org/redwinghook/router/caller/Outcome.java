package org.redwinghook.router.caller;

/** What a caller is told about its request in the header Redwinghook-Outcome. */
public enum Outcome {
    /**
     * The request ran and the answer is its own. The header of a streamed answer precedes its end, so a stream is whole
     * only with the final data line [DONE].
     */
    DONE("done"),
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
