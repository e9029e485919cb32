package org.redwinghook.experiments.policy;

/** Receives what happens to requests at the endpoints. */
interface RunListener {

    /** The request was not run. */
    void onRefused(SimulatedEndpoint endpoint, RequestRun run);

    /** A token, or the answer of a lookup. */
    void onToken(RequestRun run);

    /** The request is complete. */
    void onCompleted(SimulatedEndpoint endpoint, RequestRun run);

    /** The endpoint failed while the request was there. */
    void onFailed(SimulatedEndpoint endpoint, RequestRun run);

    /** An engine took the memory of a running generation. */
    void onPreempted(RequestRun run);

    /** An engine failed and restarts. */
    void onCrashed();
}
