package org.redwinghook.core.forward;

/**
 * What callers may send, and how long their connections may be idle.
 *
 * @param headerBytes largest request head
 * @param bodyBytes largest request body
 * @param headerTimeoutMillis longest time for sending a request head
 * @param idleTimeoutMillis longest idle time of a connection
 */
public record CallerLimits(int headerBytes, int bodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {}
