package org.redwinghook.experiments.policy;

/** Simulation of an endpoint in virtual time. */
interface FakeEndpoint {

    /** Starts a request. */
    void start(RequestRun run);

    /** Discards the warm state, as after a restart. */
    void turnCold();
}
