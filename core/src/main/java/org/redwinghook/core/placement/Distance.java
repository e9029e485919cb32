package org.redwinghook.core.placement;

/** How far an endpoint is from the router, and what that adds to an answer. */
public enum Distance {
    /** The same data centre. */
    LOCAL(0),
    /** Another data centre of the region: a few round trips of about a millisecond each. */
    NEAR(5),
    /** Another region: connection, request and answer take two round trips of some sixty milliseconds. */
    FAR(130);

    private final double latencyMillis;

    Distance(double costMillis) {
        this.latencyMillis = costMillis;
    }

    /**
     * What the distance adds to an answer.
     *
     * @return milliseconds
     */
    public double latencyMillis() {
        return latencyMillis;
    }
}
