package org.redwinghook.core.config;

/**
 * Rules that bind the whole deployment.
 *
 * @param retryShare retries as a share of requests that a router may make over ten seconds
 * @param attempts attempts that one request may make
 * @param quickTokens expected output in tokens up to which a generation counts as quick
 * @param concurrentWeightLoads weight loads at once for each region
 * @param resumeWindowMillis time for which a generation is kept after its caller went away
 * @param idempotencyWindowMillis time for which an idempotency key is remembered
 */
public record Rules(
        double retryShare,
        int attempts,
        int quickTokens,
        int concurrentWeightLoads,
        long resumeWindowMillis,
        long idempotencyWindowMillis) {

    /** Rules that hold where the document names none. */
    public static final Rules DEFAULT = new Rules(0.2, 3, 64, 2, 60_000, 3_600_000);
}
