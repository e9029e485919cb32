package org.redwinghook.core.placement;

/** A request that this router has sent to an endpoint, and its progress. Confined to the router's event loop. */
public final class RunningRequest {

    private final String endpointId;
    private final long promptTokens;
    private final long expectedOutputTokens;
    private long producedTokens;

    /**
     * Creates a request that was just sent.
     *
     * @param endpointId identifier of the endpoint
     * @param promptTokens tokens to prefill before the first output; 0 for calls
     * @param expectedOutputTokens expected total output; 0 for calls
     */
    public RunningRequest(String endpointId, long promptTokens, long expectedOutputTokens) {
        this.endpointId = endpointId;
        this.promptTokens = promptTokens;
        this.expectedOutputTokens = expectedOutputTokens;
    }

    /**
     * Endpoint that runs the request.
     *
     * @return its identifier
     */
    public String endpointId() {
        return endpointId;
    }

    /**
     * Records the output so far.
     *
     * @param tokens tokens produced so far
     */
    public void recordProducedTokens(long tokens) {
        producedTokens = tokens;
    }

    /**
     * Work that the request adds to its endpoint.
     *
     * @return the work
     */
    public WorkTotals work() {
        long waiting = producedTokens == 0 ? promptTokens : 0;
        long held = producedTokens == 0 ? 0 : promptTokens + producedTokens;
        return new WorkTotals(1, waiting, promptTokens + Math.max(expectedOutputTokens, producedTokens), held);
    }
}
