package org.redwinghook.core.message;

/**
 * Asks the sidecar whose attempt won an idempotency key for the stage of that attempt.
 *
 * @param exchange number of this exchange on this connection
 * @param process name of the sidecar that won the key
 * @param incarnation incarnation of that sidecar; a later one does not know the attempt
 * @param customer customer that chose the key
 * @param key the idempotency key
 * @param attempt number of the winner's attempt
 */
public record KeyQuestion(long exchange, String process, long incarnation, String customer, String key, long attempt)
        implements Message {}
