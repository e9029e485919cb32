package org.redwinghook.core.quota;

import org.redwinghook.core.config.Customer;

/**
 * Limit of a customer as rates.
 *
 * @param requestsPerSecond requests per second
 * @param tokensPerSecond input and output tokens per second
 */
public record QuotaLimit(double requestsPerSecond, double tokensPerSecond) {

    private static final double SECONDS_PER_MINUTE = 60;

    /**
     * Limit of a customer.
     *
     * @param customer the customer
     * @return its limit
     */
    public static QuotaLimit of(Customer customer) {
        return new QuotaLimit(customer.requestsPerSecond(), customer.tokensPerMinute() / SECONDS_PER_MINUTE);
    }

    /**
     * Share of this limit.
     *
     * @param share share from 0 to 1
     * @return the limit multiplied by the share
     */
    public QuotaLimit share(double share) {
        return new QuotaLimit(requestsPerSecond * share, tokensPerSecond * share);
    }
}
