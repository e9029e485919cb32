package org.redwinghook.router.forward;

/**
 * A refusal: the request has not run and will not run.
 *
 * @param cause why
 * @param retryAfterMillis time after which another try makes sense, in milliseconds; 0 to say nothing
 */
record Refusal(RefusalCause cause, long retryAfterMillis) {}
