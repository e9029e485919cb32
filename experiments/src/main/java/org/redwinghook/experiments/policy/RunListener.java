package org.redwinghook.experiments.policy;

/** Receives the events of requests at the {@link SimulatedEndpoint}s. */
interface RunListener {

    /** The endpoint refused the request before running it. */
    void onRefused(SimulatedEndpoint endpoint, RequestRun run);

    /** The endpoint produced a token, or the response to a lookup. */
    void onToken(RequestRun run);

    /** The request is complete. */
    void onCompleted(SimulatedEndpoint endpoint, RequestRun run);

    /** The request failed after admission. */
    void onFailed(SimulatedEndpoint endpoint, RequestRun run);

    /** An engine preempted a running generation to free memory. */
    void onPreempted(RequestRun run);

    /** An engine crashed and restarts. */
    void onCrashed();
}
