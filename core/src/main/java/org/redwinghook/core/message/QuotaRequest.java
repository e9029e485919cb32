package org.redwinghook.core.message;

/**
 * Requests a batch of a customer's quota from the owner router of the customer, and settles earlier batches.
 *
 * @param exchange number that the requesting router never uses twice
 * @param customer name of the customer
 * @param requests requested number of requests, 0 to only settle earlier batches
 * @param leastTokens minimum number of tokens for which a batch is useful
 * @param tokens requested number of tokens
 * @param returnedRequests requests of expired batches that were not used
 * @param returnedTokens tokens of expired batches that were not used
 * @param debtTokens tokens used beyond earlier batches
 */
public record QuotaRequest(
        long exchange,
        String customer,
        long requests,
        long leastTokens,
        long tokens,
        long returnedRequests,
        long returnedTokens,
        long debtTokens)
        implements Message {}
