package org.redwinghook.core.quota;

import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;

/** Token buckets of one customer at its owner router. */
public final class CustomerBuckets {

    /** Time for which a batch may be used, in milliseconds. */
    public static final long LEASE_MILLIS = 2_000;

    private static final double REQUEST_BURST_SECONDS = 2;
    private static final double TOKEN_BURST_SECONDS = 10;
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 60_000;

    private final TokenBucket requestBucket;
    private final TokenBucket tokenBucket;

    /**
     * Creates empty buckets. A new owner does not know what its predecessor granted, so it never starts full.
     *
     * @param emptyAtMillis time at which they were empty
     */
    public CustomerBuckets(long emptyAtMillis) {
        requestBucket = new TokenBucket(0, emptyAtMillis);
        tokenBucket = new TokenBucket(0, emptyAtMillis);
    }

    /**
     * Settles earlier batches and grants a new one.
     *
     * @param nowMillis current time
     * @param request the request
     * @param limit limit of the customer
     * @return the grant
     */
    public QuotaGrant grant(long nowMillis, QuotaRequest request, QuotaLimit limit) {
        double requestCapacity = Math.max(1, limit.requestsPerSecond() * REQUEST_BURST_SECONDS);
        double tokenCapacity = limit.tokensPerSecond() * TOKEN_BURST_SECONDS;
        requestBucket.consume(-(double) request.returnedRequests());
        tokenBucket.consume((double) request.debtTokens() - request.returnedTokens());
        requestBucket.refill(nowMillis, limit.requestsPerSecond(), requestCapacity);
        tokenBucket.refill(nowMillis, limit.tokensPerSecond(), tokenCapacity);
        // A reservation larger than the bucket is granted from a full bucket and leaves a debt.
        double neededTokens = Math.min(request.leastTokens(), tokenCapacity);
        double neededRequests = Math.min(1, request.requests());
        if (requestBucket.level() < neededRequests || tokenBucket.level() < neededTokens) {
            long wait = Math.max(
                    requestBucket.millisUntil(neededRequests, limit.requestsPerSecond()),
                    tokenBucket.millisUntil(neededTokens, limit.tokensPerSecond()));
            long retryAfter = Math.min(MAXIMUM_RETRY_AFTER_MILLIS, Math.max(1, wait));
            return new QuotaGrant(request.exchange(), request.customer(), 0, 0, LEASE_MILLIS, retryAfter);
        }
        long grantedRequests = Math.min(request.requests(), (long) requestBucket.level());
        long grantedTokens = Math.max(request.leastTokens(), Math.min(request.tokens(), (long) tokenBucket.level()));
        requestBucket.consume(grantedRequests);
        tokenBucket.consume(grantedTokens);
        return new QuotaGrant(request.exchange(), request.customer(), grantedRequests, grantedTokens, LEASE_MILLIS, 0);
    }
}
