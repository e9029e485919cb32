package org.redwinghook.experiments.policy;

/** Receives the events of a {@link FakeEndpoint}. */
interface EndpointObserver {

    /** The endpoint produced a token, or the response to a lookup. */
    void onToken(RequestRun run);

    /** The request is complete. */
    void onCompleted(RequestRun run);

    /** The request failed: the endpoint crashed or was restarting, or the deadline passed before the start. */
    void onFailed(RequestRun run);

    /** The endpoint crashed and restarts. {@link #onFailed} follows for each of its requests. */
    void onCrashed();

    /** The engine preempted a running generation to free memory. */
    void onPreempted(RequestRun run);
}
