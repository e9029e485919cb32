package org.redwinghook.core.config;

/** Type of a service's endpoints. */
public enum ServiceKind {
    /** Model engines that generate tokens. */
    ENGINE,
    /** Plain services that answer calls. */
    PLAIN
}
