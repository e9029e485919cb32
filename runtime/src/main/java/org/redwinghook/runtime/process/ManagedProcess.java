package org.redwinghook.runtime.process;

import io.vertx.core.Future;

/** A process of the system: what its binary starts and stops. */
public interface ManagedProcess {

    /**
     * Starts all services.
     *
     * @return completes when the process listens on all its ports
     */
    Future<Void> start();

    /**
     * Takes no new work, finishes running work, writes what must last and closes all ports.
     *
     * @return completes when nothing is left to do
     */
    Future<Void> stopGracefully();
}
