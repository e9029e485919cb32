package org.redwinghook.core.message;

/** What a process does. */
public enum ProcessRole {
    /** Takes callers' requests and routes them. */
    ROUTER,
    /** Stands beside one endpoint and admits its work. */
    SIDECAR
}
