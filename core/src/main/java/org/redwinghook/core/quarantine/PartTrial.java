package org.redwinghook.core.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A request that was sent although one of its parts is in quarantine, to find out whether the part still crashes
 * endpoints.
 *
 * @param part the part
 * @param requestId identifier of the request
 * @param startedAtMillis time at which it was admitted
 * @param unused whether no endpoint has received or run it, so that it says nothing about the part
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartTrial(String part, String requestId, long startedAtMillis, boolean unused) {

    PartTrial shiftedBy(long millis) {
        return new PartTrial(part, requestId, startedAtMillis + millis, unused);
    }
}
