package org.redwinghook.core.once;

/**
 * A caller's request to run a key.
 *
 * @param number number of the claim, never used twice by one executor
 * @param key the key
 * @param requestHash hash of the request
 * @param deadlineMillis monotonic time after which the caller no longer waits
 */
public record Claim(long number, OperationKey key, String requestHash, long deadlineMillis) {}
