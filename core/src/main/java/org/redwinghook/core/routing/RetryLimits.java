package org.redwinghook.core.routing;

/**
 * Limits of the retries to one service, for all routers together.
 *
 * @param share retries as a share of the requests in a window
 * @param slack retries that are allowed in a window regardless of the number of requests
 * @param windowSeconds length of the window, in seconds
 */
public record RetryLimits(double share, double slack, int windowSeconds) {

    /** Length of the window if none is set, in seconds. */
    public static final int DEFAULT_WINDOW_SECONDS = 10;
}
