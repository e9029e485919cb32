package org.redwinghook.core.config;

/** Whether operators let a data centre or VM take new work. */
public enum Availability {
    /** Takes new work. */
    IN,
    /** Takes no new work; running work finishes. */
    OUT
}
