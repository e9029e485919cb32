package org.redwinghook.router.forward;

/** How an attempt at an endpoint ended, as far as it says something about the endpoint. */
enum AttemptOutcome {
    /** The endpoint completed the response. */
    SUCCEEDED,
    /** The endpoint answered with an error of its own, or its response was not usable. */
    FAILED,
    /** The endpoint stated that it did not run the request. */
    NOT_RUN,
    /** No connection was opened, or nothing was sent. */
    UNREACHABLE,
    /** The endpoint broke the exchange off or did not respond in time. */
    BROKEN,
    /** The router ended the attempt, for example because the caller left or the run was moved. */
    WITHDRAWN
}
