package org.redwinghook.core.quota;

/** Quota of one router while the owner router cannot be asked: the limit divided by the number of routers. */
public final class LocalShare {

    private final TokenBucket requests;
    private final TokenBucket tokens;

    /**
     * Creates a share that allows one request at once.
     *
     * @param nowMillis the time
     */
    public LocalShare(long nowMillis) {
        requests = new TokenBucket(1, nowMillis);
        tokens = new TokenBucket(0, nowMillis);
    }

    /**
     * Takes one request. Its tokens may leave a debt that delays the next one.
     *
     * @param nowMillis the time
     * @param reservation tokens of the request
     * @param limit limit of the customer
     * @param routers number of routers that share the limit
     * @return 0 if it may run, otherwise the time in milliseconds after which another try makes sense
     */
    public long acquire(long nowMillis, long reservation, QuotaLimit limit, int routers) {
        QuotaLimit share = limit.share(1.0 / Math.max(1, routers));
        requests.refill(nowMillis, share.requestsPerSecond(), Math.max(1, share.requestsPerSecond()));
        tokens.refill(nowMillis, share.tokensPerSecond(), share.tokensPerSecond());
        long wait = Math.max(
                requests.millisUntil(1, share.requestsPerSecond()), tokens.millisUntil(0, share.tokensPerSecond()));
        if (wait > 0) {
            return wait;
        }
        requests.consume(1);
        tokens.consume(reservation);
        return 0;
    }
}
