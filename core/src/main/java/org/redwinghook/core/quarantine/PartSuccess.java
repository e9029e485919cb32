package org.redwinghook.core.quarantine;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * The last request with a part whose answer an endpoint produced.
 *
 * @param part the part
 * @param atMillis time of the answer
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PartSuccess(String part, long atMillis) {

    PartSuccess shiftedBy(long millis) {
        return new PartSuccess(part, atMillis + millis);
    }
}
