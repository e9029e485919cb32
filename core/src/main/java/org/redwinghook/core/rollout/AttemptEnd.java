package org.redwinghook.core.rollout;

/** How an attempt at an endpoint ended, as far as it says something about the endpoint's version. */
public enum AttemptEnd {
    /** The response was complete. */
    COMPLETED,
    /** The endpoint answered with an error. */
    FAILED,
    /** The connection broke. The endpoint's machine may have failed, so that several breaks at once count as one. */
    BROKEN,
    /** The router gave up, which counts only if the response was late by then. */
    WITHDRAWN,
    /** The endpoint did not run the request. */
    NOT_RUN
}
