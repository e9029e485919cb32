package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * A sidecar did not run the request: nothing was sent to the endpoint on its behalf.
 *
 * @param exchange exchange of the request
 * @param reason why the request was not run
 * @param detail explanation for the caller
 * @param retryAfterMillis time after which a retry makes sense
 * @param load load of the endpoint at the time of the refusal
 */
public record Refused(
        long exchange,
        RefusalReason reason,
        String detail,
        long retryAfterMillis,
        @Nullable EndpointLoad load) implements Message {}
