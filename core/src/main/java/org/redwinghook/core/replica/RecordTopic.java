package org.redwinghook.core.replica;

/** The platform's logs that a router keeps a copy of. */
public enum RecordTopic {
    /** Configuration and withdrawn data centres, written by operators. */
    OPERATORS,
    /** Entries of the endpoints, written by themselves. */
    ENDPOINTS,
    /** Addresses of the routers, written by themselves. */
    ROUTERS
}
