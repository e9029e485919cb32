package org.redwinghook.runtime.http;

/**
 * Limits on one request of a caller.
 *
 * @param maximumHeadBytes maximum size of the first line, and of all fields, each in bytes
 * @param maximumFields maximum number of fields
 * @param headTimeoutMillis maximum time for receiving a head, in milliseconds
 * @param unreadTimeoutMillis maximum time for which a complete response waits for its caller, in milliseconds
 */
public record ReceiveLimitsInForce(
        int maximumHeadBytes, int maximumFields, long headTimeoutMillis, long unreadTimeoutMillis) {}
