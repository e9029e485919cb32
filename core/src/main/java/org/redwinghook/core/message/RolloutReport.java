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
 * @param stateEra era of the store in which the router has seen the state in the evidence, 0 if it knows none
 */
public record RolloutReport(String service, String to, long order, RouterEvidence evidence, long stateEra)
        implements Message {

    public RolloutReport {
        Objects.requireNonNull(service);
        Objects.requireNonNull(to);
        Objects.requireNonNull(evidence);
    }
}
