package org.redwinghook.core.message;

/**
 * Grants a router a batch of a customer's quota.
 *
 * @param exchange exchange of the quota request
 * @param customer name of the customer
 * @param requests requests granted
 * @param tokens tokens granted
 * @param validMillis time from the request for which the batch may be used
 * @param retryAfterMillis 0 if the customer is within its limit; otherwise nothing is granted, and this is the time
 *     after which another request makes sense
 */
public record QuotaGrant(
        long exchange, String customer, long requests, long tokens, long validMillis, long retryAfterMillis)
        implements Message {}
