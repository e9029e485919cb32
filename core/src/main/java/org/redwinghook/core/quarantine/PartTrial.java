package org.redwinghook.core.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A request that was sent although one of its parts is in quarantine, to find out whether the part still crashes
 * endpoints.
 *
 * @param part the part
 * @param requestId identifier of the request
 * @param startedAtMillis time at which it was admitted
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartTrial(String part, String requestId, long startedAtMillis) {

    PartTrial shiftedBy(long millis) {
        return new PartTrial(part, requestId, startedAtMillis + millis);
    }
}
