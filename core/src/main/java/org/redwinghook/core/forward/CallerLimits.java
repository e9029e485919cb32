package org.redwinghook.core.forward;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maximumHeaderBytes maximum size of a request head
 * @param maximumBodyBytes maximum size of a request body
 * @param headerTimeoutMillis maximum time for receiving a request head
 * @param idleTimeoutMillis maximum idle time of a connection
 */
public record CallerLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
