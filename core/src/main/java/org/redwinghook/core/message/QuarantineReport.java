package org.redwinghook.core.message;

import java.util.Objects;

import org.redwinghook.core.quarantine.QuarantineEvidence;

/**
 * What a router has learned about parts of prompts that may crash endpoints.
 *
 * @param evidence the evidence; its times are relative to the time of sending, so none is after 0
 */
public record QuarantineReport(QuarantineEvidence evidence) implements Message {

    public QuarantineReport {
        Objects.requireNonNull(evidence);
    }
}
