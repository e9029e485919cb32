package org.redwinghook.experiments.policy;

/**
 * Request rates and output lengths of a deployment.
 *
 * @param draftsPerSecond rate of drafts outside bursts
 * @param quickPerSecond rate of quick generations outside bursts
 * @param lookupsPerSecond rate of lookups outside bursts
 * @param medianDraftTokens median output length of a draft
 * @param draftLogStandardDeviation standard deviation of the natural logarithm of the output length of drafts
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
