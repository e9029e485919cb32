package org.redwinghook.core.message;

import java.util.List;

/**
 * Streams that began at a router, while their service has several software versions.
 *
 * @param origins where they began
 * @param relayed whether a router sends what another one reported; such a report is not relayed again
 */
public record OriginReport(List<OriginGroup> origins, boolean relayed) implements Message {

    public OriginReport {
        origins = List.copyOf(origins);
    }
}
