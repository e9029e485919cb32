package org.redwinghook.experiments.policy;

/** Receives what a fake endpoint does. */
interface EndpointObserver {

    /** A token, or the answer of a lookup. */
    void token(RequestRun run);

    /** The request is complete. */
    void finished(RequestRun run);

    /** The endpoint failed or dropped the request. */
    void failed(RequestRun run);

    /** The endpoint restarts; its requests fail next. */
    void crashed();

    /** The engine took the memory of a running generation. */
    void preempted(RequestRun run);
}
