package org.redwinghook.core.message;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Streams that began at one software version of a service.
 *
 * @param service name of the service
 * @param version the version
 * @param attempts identifiers of the callers' attempts
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record OriginGroup(String service, String version, List<String> attempts) {

    public OriginGroup {
        attempts = List.copyOf(attempts);
    }
}
