package org.redwinghook.router.limit;

import org.redwinghook.core.message.RefusalReason;

/**
 * Refusal of a request that is not run.
 *
 * @param reason reason for the refusal
 * @param detail description of the refusal
 * @param retryAfterMillis time after which a retry may succeed
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMillis) {}
