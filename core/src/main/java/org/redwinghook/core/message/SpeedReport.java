package org.redwinghook.core.message;

import java.util.List;
import java.util.Objects;

import org.redwinghook.core.placement.SharedSpeed;

/**
 * Endpoints that a router has found to be faster or slower than the typical one of their service, or typical again. A
 * later report replaces what an earlier one said about the same endpoint.
 *
 * @param router name of the router
 * @param sequence number of the report, higher in later ones
 * @param speeds the endpoints
 */
public record SpeedReport(String router, long sequence, List<SharedSpeed> speeds) implements Message {

    public SpeedReport {
        Objects.requireNonNull(router);
        speeds = List.copyOf(speeds);
    }
}
