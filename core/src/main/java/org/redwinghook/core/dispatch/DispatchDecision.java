package org.redwinghook.core.dispatch;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.DelayEstimate;

/**
 * Decision on a request that leaves the queue.
 *
 * @param request the request
 * @param outcome what becomes of it
 * @param endpoint endpoint that it is sent to, null if it is not sent
 */
public record DispatchDecision(
        DispatchRequest request,
        DispatchOutcome outcome,
        @Nullable Candidate endpoint) {

    /**
     * Expected course of the request from now on.
     *
     * @return the estimate, null if the request is not sent
     */
    public @Nullable DelayEstimate estimate() {
        return endpoint == null ? null : request.rule().policy().estimate(endpoint, request.query());
    }
}
