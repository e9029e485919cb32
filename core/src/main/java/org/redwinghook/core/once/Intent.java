package org.redwinghook.core.once;

/**
 * Announces on the log that an executor is ready to run the call of a key.
 *
 * @param number number of the attempt, never used twice by one executor
 * @param key the key
 * @param requestHash hash of the request
 */
public record Intent(long number, OperationKey key, String requestHash) {}
