package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Asks a sidecar to run a generation or a call at its endpoint. Exactly one of generation and call is present.
 *
 * @param exchange number of this exchange on this connection, never used twice
 * @param service service that the request is for
 * @param owner owner of the customer
 * @param customer customer, taken from the caller's credential
 * @param priority scheduling priority; lower numbers are served first
 * @param timeoutMillis time after which the caller no longer waits for the first token or the answer
 * @param credit number of tokens that the sidecar may send before it receives further credit
 * @param generation generation to run, absent for a call
 * @param call call to a plain service, absent for a generation
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
