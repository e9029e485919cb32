package org.redwinghook.experiments.policy;

/**
 * A request of a trace.
 *
 * @param identifier number that is unique in the trace
 * @param arrivalMicros arrival time at the router
 * @param kind kind of request
 * @param owner owner of the customer
 * @param customer customer that sends the request
 * @param routerIndex index of the router that receives it
 * @param prefixHash hash of the prompt's prefix
 * @param prefixTokens length of the prefix, which a prefix cache may hold
 * @param promptTokens prompt length; 0 for lookups
 * @param maximumOutputTokens maximum output length; 0 for lookups
 * @param outputTokens actual output length; 0 for lookups
 * @param serviceMicros duration of a lookup on an idle, warm server; 0 for generations
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
