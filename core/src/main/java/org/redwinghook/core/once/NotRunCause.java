package org.redwinghook.core.once;

/** Why a claim was not run. */
public enum NotRunCause {
    /** The log cannot be reached. */
    LOG_UNAVAILABLE("the log service cannot be reached"),
    /** The caller's timeout passed before the intent was read back. */
    DEADLINE("the caller's timeout passed before the call could start"),
    /** The call was not sent to the endpoint. */
    ENDPOINT("the call was not sent to the endpoint"),
    /** An earlier attempt was not run, but its outcome is not on the log yet. */
    EARLIER_ATTEMPT("an earlier attempt with this key was not run and is being released");

    private final String detail;

    NotRunCause(String detail) {
        this.detail = detail;
    }

    /**
     * Explanation for the caller.
     *
     * @return the text
     */
    public String detail() {
        return detail;
    }
}
