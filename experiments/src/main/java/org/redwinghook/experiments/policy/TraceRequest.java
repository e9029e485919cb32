package org.redwinghook.experiments.policy;

/**
 * A request of a trace.
 *
 * @param identifier number in the trace
 * @param arrivalMicros time of arrival at the router
 * @param kind kind of request
 * @param owner owner of the customer
 * @param customer customer that asks
 * @param routerIndex number of the router that receives it
 * @param prefixHash hash of the prompt's prefix
 * @param prefixTokens tokens of the prompt that a prefix cache may hold
 * @param promptTokens prompt length; 0 for lookups
 * @param maximumOutputTokens largest output that the caller allows; 0 for lookups
 * @param outputTokens true output length; 0 for lookups
 * @param serviceMicros duration of a lookup at an idle server; 0 for generations
 */
record TraceRequest(
        long identifier,
        long arrivalMicros,
        RequestKind kind,
        String owner,
        String customer,
        int routerIndex,
        long prefixHash,
        int prefixTokens,
        int promptTokens,
        int maximumOutputTokens,
        int outputTokens,
        long serviceMicros) {}
