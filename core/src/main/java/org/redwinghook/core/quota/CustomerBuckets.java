package org.redwinghook.core.quota;

import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;

/** Buckets of one customer at its owner router. */
public final class CustomerBuckets {

    /** Time for which a batch may be used, in milliseconds. */
    public static final long LEASE_MILLIS = 2_000;

    private static final double REQUEST_BURST_SECONDS = 2;
    private static final double TOKEN_BURST_SECONDS = 10;
    private static final long MAXIMUM_RETRY_AFTER_MILLIS = 60_000;

    private final TokenBucket requests;
    private final TokenBucket tokens;

    /**
     * Creates empty buckets. A new owner does not know what its predecessor granted, so it never starts full.
     *
     * @param emptyAtMillis time at which they were empty
     */
    public CustomerBuckets(long emptyAtMillis) {
        requests = new TokenBucket(0, emptyAtMillis);
        tokens = new TokenBucket(0, emptyAtMillis);
    }

    /**
     * Settles earlier batches and grants a new one.
     *
     * @param nowMillis the time
     * @param request the request
     * @param limit limit of the customer
     * @return the grant
     */
    public QuotaGrant grant(long nowMillis, QuotaRequest request, QuotaLimit limit) {
        double requestCapacity = Math.max(1, limit.requestsPerSecond() * REQUEST_BURST_SECONDS);
        double tokenCapacity = limit.tokensPerSecond() * TOKEN_BURST_SECONDS;
        requests.consume(-(double) request.returnedRequests());
        tokens.consume((double) request.debtTokens() - request.returnedTokens());
        requests.refill(nowMillis, limit.requestsPerSecond(), requestCapacity);
        tokens.refill(nowMillis, limit.tokensPerSecond(), tokenCapacity);
        // A reservation larger than the bucket is granted from a full bucket and leaves a debt.
        double neededTokens = Math.min(request.leastTokens(), tokenCapacity);
        double neededRequests = Math.min(1, request.requests());
        if (requests.level() < neededRequests || tokens.level() < neededTokens) {
            long wait = Math.max(
                    requests.millisUntil(neededRequests, limit.requestsPerSecond()),
                    tokens.millisUntil(neededTokens, limit.tokensPerSecond()));
            long retryAfter = Math.min(MAXIMUM_RETRY_AFTER_MILLIS, Math.max(1, wait));
            return new QuotaGrant(request.exchange(), request.customer(), 0, 0, LEASE_MILLIS, retryAfter);
        }
        long grantedRequests = Math.min(request.requests(), (long) requests.level());
        long grantedTokens = Math.max(request.leastTokens(), Math.min(request.tokens(), (long) tokens.level()));
        requests.consume(grantedRequests);
        tokens.consume(grantedTokens);
        return new QuotaGrant(request.exchange(), request.customer(), grantedRequests, grantedTokens, LEASE_MILLIS, 0);
    }
}
