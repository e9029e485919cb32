package org.redwinghook.router.limit;

import org.redwinghook.core.message.RefusalReason;

/**
 * A request that is not run.
 *
 * @param reason why
 * @param detail explanation
 * @param retryAfterMillis time after which another try makes sense
 */
public record Refusal(RefusalReason reason, String detail, long retryAfterMillis) {}
