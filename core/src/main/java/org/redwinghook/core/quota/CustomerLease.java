package org.redwinghook.core.quota;

import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;

/**
 * A router's leased part of one customer's quota. The batch size doubles each time a batch is used up before it expires
 * and halves each time a batch expires with requests left, so that a router holds about as much as it needs.
 */
public final class CustomerLease {

    private static final double MAXIMUM_BATCH_SECONDS = 0.5;

    // Other routers may return quota earlier than the owner expects, so the owner is asked again after this time.
    private static final long MAXIMUM_DENIAL_MILLIS = 500;

    private long requests;
    private long tokens;
    private long expiresAtMillis;
    private long deniedUntilMillis;
    private long batchSize = 1;
    private long returnedRequests;
    private long returnedTokens;
    private long debtTokens;
    private long requestedDebtTokens;

    /**
     * Acquires quota for one request and its reservation.
     *
     * @param nowMillis current time
     * @param reservation tokens reserved for the request
     * @return false if the lease does not cover it
     */
    public boolean tryAcquire(long nowMillis, long reservation) {
        expire(nowMillis);
        if (debtTokens > 0 || nowMillis < deniedUntilMillis || requests < 1 || tokens < reservation) {
            return false;
        }
        requests--;
        tokens -= reservation;
        return true;
    }

    /**
     * Charges tokens beyond a reservation. A running generation continues; tokens that the lease does not cover become
     * debt.
     *
     * @param nowMillis current time
     * @param amount tokens
     */
    public void charge(long nowMillis, long amount) {
        expire(nowMillis);
        long covered = Math.min(amount, tokens);
        tokens -= covered;
        debtTokens += amount - covered;
    }

    /**
     * Returns tokens that a request reserved and did not use.
     *
     * @param nowMillis current time
     * @param amount tokens
     */
    public void refund(long nowMillis, long amount) {
        expire(nowMillis);
        long repaid = Math.min(amount, debtTokens - requestedDebtTokens);
        debtTokens -= repaid;
        if (nowMillis < expiresAtMillis) {
            tokens += amount - repaid;
        } else {
            returnedTokens += amount - repaid;
        }
    }

    /**
     * Creates a request to the owner. The quota that it returns is given up here even if the request is lost, so that
     * nothing is returned twice; debt remains until the owner has answered.
     *
     * @param nowMillis current time
     * @param exchange number of the request
     * @param customer name of the customer
     * @param waiting requests that wait for the lease
     * @param reservation tokens that the first of them reserves
     * @param limit limit of the customer
     * @return the request
     */
    public QuotaRequest createRequest(
            long nowMillis, long exchange, String customer, int waiting, long reservation, QuotaLimit limit) {
        expire(nowMillis);
        long maximumBatch = Math.max(1, (long) (limit.requestsPerSecond() * MAXIMUM_BATCH_SECONDS));
        long target = waiting == 0 ? 0 : Math.max(waiting, Math.min(batchSize, maximumBatch));
        // Requests only what is missing; otherwise requests accumulate here although tokens are what runs out.
        long minimumTokens = waiting == 0 ? 0 : Math.max(0, reservation - tokens);
        QuotaRequest request = new QuotaRequest(
                exchange,
                customer,
                Math.max(0, target - requests),
                minimumTokens,
                Math.max(minimumTokens, target * reservation - tokens),
                returnedRequests,
                returnedTokens,
                debtTokens);
        returnedRequests = 0;
        returnedTokens = 0;
        requestedDebtTokens = debtTokens;
        return request;
    }

    /**
     * Applies a grant.
     *
     * @param nowMillis current time
     * @param requestedAtMillis time of the request, from which the grant is valid
     * @param grant the grant
     */
    public void applyGrant(long nowMillis, long requestedAtMillis, QuotaGrant grant) {
        boolean isUsedUp = requests == 0 && nowMillis < expiresAtMillis;
        expire(nowMillis);
        debtTokens -= requestedDebtTokens;
        requestedDebtTokens = 0;
        if (grant.retryAfterMillis() > 0) {
            deniedUntilMillis = nowMillis + Math.min(grant.retryAfterMillis(), MAXIMUM_DENIAL_MILLIS);
            return;
        }
        deniedUntilMillis = 0;
        if (grant.requests() == 0 && grant.tokens() == 0) {
            return;
        }
        if (isUsedUp) {
            batchSize *= 2;
        }
        requests += grant.requests();
        tokens += grant.tokens();
        expiresAtMillis = requestedAtMillis + grant.validMillis();
    }

    /**
     * Remaining time of the owner's last denial. It avoids asking the owner again for each request over the limit.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, 0 if the owner may be asked
     */
    public long remainingDenialMillis(long nowMillis) {
        return Math.max(0, deniedUntilMillis - nowMillis);
    }

    /** Ends a request that the owner did not answer; the next request includes its debt again. */
    public void timeOutRequest() {
        requestedDebtTokens = 0;
    }

    /**
     * Whether batches have to be settled with the owner even if no quota is wanted.
     *
     * @param nowMillis current time
     * @return true if there is something to return or a debt
     */
    public boolean needsSettling(long nowMillis) {
        expire(nowMillis);
        return returnedRequests > 0 || returnedTokens > 0 || debtTokens > requestedDebtTokens;
    }

    private void expire(long nowMillis) {
        if (nowMillis < expiresAtMillis || (requests == 0 && tokens == 0)) {
            return;
        }
        if (requests > 0) {
            batchSize = Math.max(1, batchSize / 2);
        }
        returnedRequests += requests;
        returnedTokens += tokens;
        requests = 0;
        tokens = 0;
    }
}
