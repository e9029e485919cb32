package org.redwinghook.core.message;

import java.util.List;

/**
 * Streams that began at a router, while their service has several software versions.
 *
 * @param origins where they began
 */
public record OriginReport(List<OriginGroup> origins) implements Message {

    public OriginReport {
        origins = List.copyOf(origins);
    }
}
