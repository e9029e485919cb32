package org.redwinghook.core.message;

/**
 * Asks the owner router of a customer for a batch of its quota, and settles earlier batches.
 *
 * @param exchange number that the asking router never uses twice
 * @param customer name of the customer
 * @param requests requests wanted, 0 to settle only
 * @param leastTokens tokens below which a batch is of no use
 * @param tokens tokens wanted
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
