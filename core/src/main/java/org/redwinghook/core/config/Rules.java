package org.redwinghook.core.config;

/**
 * Rules that apply to the whole deployment.
 *
 * @param retryShare maximum retries of a router over ten seconds, as a share of its requests
 * @param attempts maximum number of attempts for one request
 * @param quickTokens expected output in tokens up to which a generation counts as quick
 * @param concurrentWeightLoads maximum number of concurrent weight loads in each region
 * @param resumeWindowMillis time for which a generation is kept after its caller disconnected
 * @param idempotencyWindowMillis time for which an idempotency key is remembered
 */
public record Rules(
        double retryShare,
        int attempts,
        int quickTokens,
        int concurrentWeightLoads,
        long resumeWindowMillis,
        long idempotencyWindowMillis) {

    /** Default rules, used where the document sets none. */
    public static final Rules DEFAULT = new Rules(0.2, 3, 64, 2, 60_000, 3_600_000);
}
