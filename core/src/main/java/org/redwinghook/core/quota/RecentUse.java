package org.redwinghook.core.quota;

import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;

/** Recent use of one customer's quota, with exponential decay. */
public final class RecentUse {

    private static final double DECAY_MILLIS = 60_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private double requests;
    private double tokens;
    private long updatedAtMillis;

    /**
     * Creates an instance without any use.
     *
     * @param nowMillis current time
     */
    public RecentUse(long nowMillis) {
        updatedAtMillis = nowMillis;
    }

    /**
     * Records a grant and the quota that was returned with its request.
     *
     * @param nowMillis current time
     * @param request the request
     * @param grant the grant
     */
    public void recordGrant(long nowMillis, QuotaRequest request, QuotaGrant grant) {
        decay(nowMillis);
        requests += grant.requests() - request.returnedRequests();
        tokens += grant.tokens() + request.debtTokens() - request.returnedTokens();
    }

    /**
     * Recent use as a share of a limit: of requests or of tokens, whichever is larger.
     *
     * @param nowMillis current time
     * @param limit the limit
     * @return the share, not negative
     */
    public double shareOf(long nowMillis, QuotaLimit limit) {
        decay(nowMillis);
        double seconds = DECAY_MILLIS / MILLIS_PER_SECOND;
        return Math.max(
                share(requests / seconds, limit.requestsPerSecond()), share(tokens / seconds, limit.tokensPerSecond()));
    }

    private static double share(double rate, double limit) {
        return limit <= 0 ? 0 : Math.max(0, rate / limit);
    }

    private void decay(long nowMillis) {
        double factor = Math.exp(-Math.max(0, nowMillis - updatedAtMillis) / DECAY_MILLIS);
        requests *= factor;
        tokens *= factor;
        updatedAtMillis = Math.max(updatedAtMillis, nowMillis);
    }
}
