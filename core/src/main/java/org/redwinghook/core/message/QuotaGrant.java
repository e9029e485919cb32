package org.redwinghook.core.message;

/**
 * A batch of a customer's quota.
 *
 * @param exchange number of the request
 * @param customer name of the customer
 * @param requests requests granted, 0 if the limit is reached
 * @param tokens tokens granted
 * @param validMillis time from the request for which the batch may be used
 * @param retryAfterMillis time after which another request makes sense if nothing is granted
 */
public record QuotaGrant(
        long exchange, String customer, long requests, long tokens, long validMillis, long retryAfterMillis)
        implements Message {}
