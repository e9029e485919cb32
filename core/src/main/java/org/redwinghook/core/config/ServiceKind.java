package org.redwinghook.core.config;

/** What the endpoints of a service are. */
public enum ServiceKind {
    /** Model engines that generate tokens. */
    ENGINE,
    /** Plain services that answer calls. */
    PLAIN
}
