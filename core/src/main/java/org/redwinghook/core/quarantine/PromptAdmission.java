package org.redwinghook.core.quarantine;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Whether a request may be sent.
 *
 * @param rejectedFor part in quarantine for which it may not be sent, null if it may
 * @param retryAfterMillis time until a request with that part may be sent, in milliseconds
 * @param trials trials that begin with the request
 */
public record PromptAdmission(@Nullable QuarantinedPart rejectedFor, long retryAfterMillis, List<PartTrial> trials) {

    static final PromptAdmission ADMITTED = new PromptAdmission(null, 0, List.of());

    public PromptAdmission {
        trials = List.copyOf(trials);
    }
}
