package org.redwinghook.core.replica;

/** Logs of the platform that routers replicate. */
public enum RecordTopic {
    /** Configuration and withdrawn data centres, written by operators. */
    OPERATORS,
    /** Entries of the endpoints, written by the endpoints. */
    ENDPOINTS,
    /** Addresses of the routers, written by the routers. */
    ROUTERS
}
