package org.redwinghook.core.quarantine;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A request that an endpoint had received and whose answer had not begun when the endpoint crashed.
 *
 * @param requestId identifier of the request
 * @param parts shared parts of its prompt, in order
 * @param sentAtMillis time at which it was sent
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record SuspectRequest(String requestId, List<String> parts, long sentAtMillis) {

    public SuspectRequest {
        parts = List.copyOf(parts);
    }

    /** The same request, sent not after a time. */
    SuspectRequest sentUntil(long millis) {
        return sentAtMillis <= millis ? this : new SuspectRequest(requestId, parts, millis);
    }

    SuspectRequest shiftedBy(long millis) {
        return new SuspectRequest(requestId, parts, sentAtMillis + millis);
    }
}
