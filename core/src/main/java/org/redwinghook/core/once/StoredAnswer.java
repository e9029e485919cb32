package org.redwinghook.core.once;

import org.jspecify.annotations.Nullable;

/**
 * Answer of a service that is kept for retries.
 *
 * @param status HTTP status
 * @param contentType media type of the body
 * @param body body as received
 */
public record StoredAnswer(int status, @Nullable String contentType, byte[] body) {

    /** Maximum size of a body that is written to the log, in bytes. */
    public static final int MAXIMUM_BODY_BYTES = 16 * 1024;

    /**
     * Whether the answer is small enough for the log.
     *
     * @return true if it may be written
     */
    public boolean fitsLog() {
        return body.length <= MAXIMUM_BODY_BYTES;
    }
}
