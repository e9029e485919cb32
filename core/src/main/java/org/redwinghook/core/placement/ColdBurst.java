package org.redwinghook.core.placement;

/**
 * Tolerance of a cold endpoint for requests beyond its rate in any second.
 *
 * @param factor factor of its rate
 * @param requests requests that are tolerated in addition
 */
public record ColdBurst(double factor, double requests) {

    /** No tolerance. */
    public static final ColdBurst NONE = new ColdBurst(1, 0);

    /**
     * Largest number of requests that an endpoint tolerates in one second.
     *
     * @param requestsPerSecond rate of the endpoint
     * @return the number
     */
    public double largestBurst(double requestsPerSecond) {
        return requestsPerSecond * factor + requests;
    }
}
