package org.redwinghook.core.dispatch;

/**
 * Settings of the queues of a router.
 *
 * @param enabled whether requests wait while capacity is short; otherwise they are sent at once
 * @param maximumRequests maximum number of waiting requests of each service
 */
public record WaitingSettings(boolean enabled, int maximumRequests) {

    /** Default of the maximum number of waiting requests: several seconds of a router's load. */
    public static final int DEFAULT_MAXIMUM_REQUESTS = 1_000;

    /** Requests do not wait. */
    public static final WaitingSettings DISABLED = new WaitingSettings(false, DEFAULT_MAXIMUM_REQUESTS);
}
