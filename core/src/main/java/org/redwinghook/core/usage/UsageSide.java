package org.redwinghook.core.usage;

/** Which of two independent counts of the same work. */
public enum UsageSide {
    /** What a router delivered. */
    ROUTER,
    /** What an endpoint produced, counted by its sidecar. */
    ENDPOINT
}
