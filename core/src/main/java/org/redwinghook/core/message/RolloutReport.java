package org.redwinghook.core.message;

import java.util.Objects;

import org.redwinghook.core.rollout.RouterEvidence;

/**
 * What a router knows of a roll-out.
 *
 * @param service name of the service
 * @param to version that is rolled out
 * @param order offset of the newest record with the order
 * @param evidence the evidence
 */
public record RolloutReport(String service, String to, long order, RouterEvidence evidence) implements Message {

    public RolloutReport {
        Objects.requireNonNull(service);
        Objects.requireNonNull(to);
        Objects.requireNonNull(evidence);
    }
}
