package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Asks a sidecar to run a generation or a call at its endpoint. Exactly one of generation and call is present.
 *
 * @param exchange number of this exchange on this connection, never used twice
 * @param service service that the request is for
 * @param owner owner of the customer
 * @param customer customer, taken from the caller's credential
 * @param priority lower numbers go first
 * @param timeoutMillis time after which the caller no longer waits for the first token or the answer
 * @param credit tokens that the router takes before it grants more
 * @param generation a generation to run
 * @param call a call to a plain service
 */
public record Submit(
        long exchange,
        String service,
        String owner,
        String customer,
        int priority,
        long timeoutMillis,
        int credit,
        @Nullable GenerationRequest generation,
        @Nullable CallRequest call)
        implements Message {}
