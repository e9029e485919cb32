package org.redwinghook.core.placement;

/** Network distance of an endpoint, and the latency that it adds to a response. */
public enum Distance {
    /** The same data centre. */
    LOCAL(0),
    /** Another data centre of the region: a few round trips of about a millisecond each. */
    NEAR(5),
    /** Another region: connection, request and response take two round trips of about sixty milliseconds each. */
    FAR(130);

    private final double latencyMillis;

    Distance(double latencyMillis) {
        this.latencyMillis = latencyMillis;
    }

    /**
     * Latency that the distance adds to a response.
     *
     * @return the latency in milliseconds
     */
    public double latencyMillis() {
        return latencyMillis;
    }
}
