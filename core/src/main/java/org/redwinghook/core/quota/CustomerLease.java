package org.redwinghook.core.quota;

import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;

/**
 * A router's leased part of one customer's quota. The batch doubles each time it is used up in time and halves each
 * time it expires with something left, so that a router holds about as much as it needs.
 */
public final class CustomerLease {

    private static final double MAXIMUM_BATCH_SECONDS = 0.5;

    // Other routers may return quota earlier than the owner expects, so the owner is asked again after this time.
    private static final long MAXIMUM_DENIAL_MILLIS = 500;

    private long requests;
    private long tokens;
    private long expiresAtMillis;
    private long deniedUntilMillis;
    private long batch = 1;
    private long returnedRequests;
    private long returnedTokens;
    private long debtTokens;
    private long requestedDebtTokens;

    /**
     * Takes one request and its reservation.
     *
     * @param nowMillis the time
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
     * Counts tokens beyond a reservation. A running generation goes on; what the lease does not cover becomes debt.
     *
     * @param nowMillis the time
     * @param amount tokens
     */
    public void charge(long nowMillis, long amount) {
        expire(nowMillis);
        long covered = Math.min(amount, tokens);
        tokens -= covered;
        debtTokens += amount - covered;
    }

    /**
     * Gives back what a request reserved and did not use.
     *
     * @param nowMillis the time
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
     * Makes a request to the owner. What it returns is given up here even if the request is lost, so that nothing is
     * returned twice; debt stays until the owner has answered.
     *
     * @param nowMillis the time
     * @param exchange number of the request
     * @param customer name of the customer
     * @param waiting requests that wait for the lease
     * @param reservation tokens of the first of them
     * @param limit limit of the customer
     * @return the request
     */
    public QuotaRequest createRequest(
            long nowMillis, long exchange, String customer, int waiting, long reservation, QuotaLimit limit) {
        expire(nowMillis);
        long maximumBatch = Math.max(1, (long) (limit.requestsPerSecond() * MAXIMUM_BATCH_SECONDS));
        long target = waiting == 0 ? 0 : Math.max(waiting, Math.min(batch, maximumBatch));
        // Only what is missing is asked for: otherwise requests pile up here while tokens are what runs out.
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
     * Adds a grant.
     *
     * @param nowMillis the time
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
            batch *= 2;
        }
        requests += grant.requests();
        tokens += grant.tokens();
        expiresAtMillis = requestedAtMillis + grant.validMillis();
    }

    /**
     * Time for which the owner has denied quota, so that it need not be asked for each request over the limit.
     *
     * @param nowMillis the time
     * @return the time in milliseconds, 0 if the owner may be asked
     */
    public long remainingDenialMillis(long nowMillis) {
        return Math.max(0, deniedUntilMillis - nowMillis);
    }

    /** The owner did not answer; the debt is asked again. */
    public void timeOutRequest() {
        requestedDebtTokens = 0;
    }

    /**
     * Whether the owner has to be told something although nothing is wanted.
     *
     * @param nowMillis the time
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
            batch = Math.max(1, batch / 2);
        }
        returnedRequests += requests;
        returnedTokens += tokens;
        requests = 0;
        tokens = 0;
    }
}
