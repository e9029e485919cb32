package org.redwinghook.router.forward;

/**
 * A refusal: the request has not run and will not run.
 *
 * @param cause cause of the refusal
 * @param retryAfterMillis suggested retry delay, in milliseconds; 0 to suggest none
 */
record Refusal(RefusalCause cause, long retryAfterMillis) {}
