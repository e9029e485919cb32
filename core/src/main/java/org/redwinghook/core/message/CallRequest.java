package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.jspecify.annotations.Nullable;

/**
 * A call to a plain service.
 *
 * @param method HTTP method
 * @param path path and query at the service
 * @param contentType media type of the body, absent if there is none
 * @param body body as received from the caller
 * @param idempotencyKey key chosen by the caller, absent if there is none
 * @param idempotent whether the call may run more than once without a second side effect
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record CallRequest(
        String method,
        String path,
        @Nullable String contentType,
        byte[] body,
        @Nullable String idempotencyKey,
        boolean idempotent) {}
