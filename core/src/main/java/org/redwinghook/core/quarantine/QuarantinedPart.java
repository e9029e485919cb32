package org.redwinghook.core.quarantine;

import java.util.List;

/**
 * A part of prompts that crashes endpoints.
 *
 * @param part the part
 * @param crashedEndpoints endpoints that crashed one after the other on requests with the part
 * @param firstCrashMillis time of the first of these crashes
 * @param trials number of requests sent since to find out whether it still does
 * @param nextTrialMillis time from which the next one may be sent
 */
public record QuarantinedPart(
        String part, List<String> crashedEndpoints, long firstCrashMillis, int trials, long nextTrialMillis) {

    public QuarantinedPart {
        crashedEndpoints = List.copyOf(crashedEndpoints);
    }
}
