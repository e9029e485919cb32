package org.redwinghook.core.quota;

/** Quota of one router while the owner router is not reachable: the limit divided by the number of routers. */
public final class LocalShare {

    private final TokenBucket requestBucket;
    private final TokenBucket tokenBucket;

    /**
     * Creates a share that allows one request at once.
     *
     * @param nowMillis current time
     */
    public LocalShare(long nowMillis) {
        requestBucket = new TokenBucket(1, nowMillis);
        tokenBucket = new TokenBucket(0, nowMillis);
    }

    /**
     * Acquires quota for one request. Its tokens may leave a debt that delays the next one.
     *
     * @param nowMillis current time
     * @param reservation tokens of the request
     * @param limit limit of the customer
     * @param routers number of routers that share the limit
     * @return 0 if it may run, otherwise the time in milliseconds after which a retry makes sense
     */
    public long acquire(long nowMillis, long reservation, QuotaLimit limit, int routers) {
        QuotaLimit share = limit.share(1.0 / Math.max(1, routers));
        requestBucket.refill(nowMillis, share.requestsPerSecond(), Math.max(1, share.requestsPerSecond()));
        tokenBucket.refill(nowMillis, share.tokensPerSecond(), share.tokensPerSecond());
        long wait = Math.max(
                requestBucket.millisUntil(1, share.requestsPerSecond()),
                tokenBucket.millisUntil(0, share.tokensPerSecond()));
        if (wait > 0) {
            return wait;
        }
        requestBucket.consume(1);
        tokenBucket.consume(reservation);
        return 0;
    }
}
