package org.redwinghook.core.message;

/** Role of a process. */
public enum ProcessRole {
    /** Takes callers' requests and routes them. */
    ROUTER,
    /** Runs beside one endpoint and admits its work. */
    SIDECAR
}
