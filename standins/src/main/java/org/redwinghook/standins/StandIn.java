package org.redwinghook.standins;

import io.vertx.core.Future;

/** A stand-in that listens on one port. */
public interface StandIn {

    /**
     * Starts to listen.
     *
     * @return the port
     */
    Future<Integer> start();

    /**
     * Stops at once and closes all connections, as a kill would.
     *
     * @return completes when the port is closed
     */
    Future<Void> stop();
}
