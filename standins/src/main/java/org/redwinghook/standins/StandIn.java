package org.redwinghook.standins;

import io.vertx.core.Future;

/** A server that replaces a platform service or a back end and listens on one port. */
public interface StandIn {

    /**
     * Starts listening.
     *
     * @return the port that the stand-in listens on
     */
    Future<Integer> start();

    /**
     * Stops at once and closes all connections, as if the process were killed.
     *
     * @return a future that completes when the port is closed
     */
    Future<Void> stop();
}
