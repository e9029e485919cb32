package org.redwinghook.experiments.policy;

/** Receives what a fake endpoint does. */
interface EndpointObserver {

    /** A token, or the answer of a lookup. */
    void onToken(RequestRun run);

    /** The request is complete. */
    void onCompleted(RequestRun run);

    /** The endpoint failed or dropped the request. */
    void onFailed(RequestRun run);

    /** The endpoint restarts; its requests fail next. */
    void onCrashed();

    /** The engine took the memory of a running generation. */
    void onPreempted(RequestRun run);
}
