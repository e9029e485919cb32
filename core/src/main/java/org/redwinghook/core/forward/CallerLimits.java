package org.redwinghook.core.forward;

/**
 * What callers may send, and how long their connections may be idle.
 *
 * @param maximumHeaderBytes largest request head
 * @param maximumBodyBytes largest request body
 * @param headerTimeoutMillis longest time for sending a request head
 * @param idleTimeoutMillis longest idle time of a connection
 */
public record CallerLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
