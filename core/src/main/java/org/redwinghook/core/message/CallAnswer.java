package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Answer of a plain service.
 *
 * @param exchange exchange of the call
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body as received
 * @param replayed whether the answer was stored by an earlier run with the same idempotency key
 * @param load load of the endpoint
 */
public record CallAnswer(
        long exchange,
        int status,
        @Nullable String contentType,
        byte[] body,
        boolean replayed,
        @Nullable EndpointLoad load)
        implements Message {}
