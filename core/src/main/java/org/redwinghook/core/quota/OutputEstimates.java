package org.redwinghook.core.quota;

import java.util.HashMap;
import java.util.Map;

/** Learned mean output of each customer at each service, weighted towards recent generations. */
public final class OutputEstimates {

    private static final double NEWEST_WEIGHT = 0.1;
    private static final long DEFAULT_TOKENS = 128;

    private final Map<Key, Double> means = new HashMap<>();

    /**
     * Tokens to reserve for an output.
     *
     * @param customer name of the customer
     * @param service name of the service
     * @param maximumTokens maximum output that the request allows
     * @return the learned mean, at least 1 and at most the maximum output
     */
    public long expectedTokens(String customer, String service, long maximumTokens) {
        double mean = means.getOrDefault(new Key(customer, service), (double) DEFAULT_TOKENS);
        return Math.max(1, Math.min(maximumTokens, Math.round(mean)));
    }

    /**
     * Records an output.
     *
     * @param customer name of the customer
     * @param service name of the service
     * @param tokens its length
     */
    public void recordOutput(String customer, String service, long tokens) {
        means.merge(
                new Key(customer, service), (double) tokens, (mean, newest) -> mean + NEWEST_WEIGHT * (newest - mean));
    }

    private record Key(String customer, String service) {}
}
