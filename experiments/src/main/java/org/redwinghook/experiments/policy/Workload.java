package org.redwinghook.experiments.policy;

/**
 * Requests of a deployment.
 *
 * @param draftsPerSecond drafts outside bursts
 * @param quickPerSecond quick generations outside bursts
 * @param lookupsPerSecond lookups outside bursts
 * @param medianDraftTokens median output of a draft
 * @param draftLogStandardDeviation standard deviation of the logarithm of the drafts' outputs
 */
record Workload(
        double draftsPerSecond,
        double quickPerSecond,
        double lookupsPerSecond,
        double medianDraftTokens,
        double draftLogStandardDeviation) {

    double requestsPerSecond(RequestKind kind) {
        return switch (kind) {
            case DRAFT -> draftsPerSecond;
            case QUICK -> quickPerSecond;
            case LOOKUP -> lookupsPerSecond;
        };
    }
}
