package org.redwinghook.experiments.policy;

/** Receives what happens to requests at the endpoints. */
interface RunListener {

    /** The request was not run. */
    void refused(SimulatedEndpoint endpoint, RequestRun run);

    /** A token, or the answer of a lookup. */
    void token(RequestRun run);

    /** The request is complete. */
    void finished(SimulatedEndpoint endpoint, RequestRun run);

    /** The endpoint failed while the request was there. */
    void failed(SimulatedEndpoint endpoint, RequestRun run);

    /** An engine took the memory of a running generation. */
    void preempted(RequestRun run);

    /** An engine failed and restarts. */
    void crashed();
}
