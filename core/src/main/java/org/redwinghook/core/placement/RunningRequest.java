package org.redwinghook.core.placement;

/** A request at an endpoint, as its router sees it. Confined to the router's event loop. */
public final class RunningRequest {

    private final String endpointId;
    private final long promptTokens;
    private final long expectedOutputTokens;
    private final boolean copyOnly;
    private long producedTokens;

    /**
     * Creates a request that was just sent.
     *
     * @param endpointId where it was sent
     * @param promptTokens tokens to read before the first output; 0 for calls
     * @param expectedOutputTokens output expected in all; 0 for calls
     */
    public RunningRequest(String endpointId, long promptTokens, long expectedOutputTokens) {
        this(endpointId, promptTokens, expectedOutputTokens, false);
    }

    private RunningRequest(String endpointId, long promptTokens, long expectedOutputTokens, boolean copyOnly) {
        this.endpointId = endpointId;
        this.promptTokens = promptTokens;
        this.expectedOutputTokens = expectedOutputTokens;
        this.copyOnly = copyOnly;
    }

    /**
     * A copy of a run's memory, which takes room at an engine but no steps.
     *
     * @param endpointId engine that holds the copy
     * @param tokens memory that it is expected to need at its end
     * @return the copy
     */
    public static RunningRequest copy(String endpointId, long tokens) {
        return new RunningRequest(endpointId, tokens, 0, true);
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
     * Notes output.
     *
     * @param tokens tokens produced so far
     */
    public void produced(long tokens) {
        producedTokens = tokens;
    }

    /**
     * What the request adds to its endpoint's work.
     *
     * @return the work
     */
    public WorkTotals work() {
        if (copyOnly) {
            return new WorkTotals(0, 0, promptTokens, 0);
        }
        long waiting = producedTokens == 0 ? promptTokens : 0;
        long held = producedTokens == 0 ? 0 : promptTokens + producedTokens;
        return new WorkTotals(1, waiting, promptTokens + Math.max(expectedOutputTokens, producedTokens), held);
    }
}
