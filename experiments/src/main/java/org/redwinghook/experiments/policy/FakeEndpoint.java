package org.redwinghook.experiments.policy;

/** An endpoint in virtual time. */
interface FakeEndpoint {

    /** Starts a request. */
    void start(RequestRun run);

    /** Loses the warm state. */
    void turnCold();
}
