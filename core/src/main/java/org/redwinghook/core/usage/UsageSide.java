package org.redwinghook.core.usage;

/** The two sides that count the same work independently. */
public enum UsageSide {
    /** Work that a router delivered to callers. */
    ROUTER,
    /** Work that an endpoint produced, counted by its sidecar. */
    ENDPOINT
}
