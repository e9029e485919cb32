package org.redwinghook.core.message;

/**
 * Asks the sidecar that won an idempotency key how far its attempt is.
 *
 * @param exchange number of this exchange on this connection
 * @param process sidecar that won the key
 * @param incarnation start of that sidecar; a later one cannot tell
 * @param customer customer that chose the key
 * @param key the idempotency key
 * @param attempt number of the winner's attempt
 */
public record KeyQuestion(long exchange, String process, long incarnation, String customer, String key, long attempt)
        implements Message {}
