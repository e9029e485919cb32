package org.redwinghook.core.usage;

/**
 * Counts of the routers and of the sidecars for one customer at one service.
 *
 * @param owner owner of the customer
 * @param customer the customer
 * @param service the service
 * @param router counts of the routers
 * @param endpoint counts of the sidecars
 */
public record UsageDifference(String owner, String customer, String service, UsageCounts router, UsageCounts endpoint) {

    /**
     * Output tokens that endpoints produced and no router counts as delivered.
     *
     * @return the difference, negative if routers counted more
     */
    public long undeliveredTokens() {
        return endpoint.outputTokens() - router.outputTokens();
    }
}
