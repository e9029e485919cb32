package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * What the report of an endpoint said about its end.
 *
 * @param endpoint identifier of the endpoint
 * @param startedAtMillis Unix time of its start, as in its entry
 * @param leaves whether it leaves; otherwise it stated that it stays
 * @param ageMillis time since the report was read, in milliseconds
 * @param remainingMillis time until it ends, in milliseconds, negative if it is not known
 * @param reader name of the router that read the report
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record LeaveNotice(
        String endpoint, long startedAtMillis, boolean leaves, long ageMillis, long remainingMillis, String reader) {}
