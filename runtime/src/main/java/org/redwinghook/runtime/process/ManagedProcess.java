package org.redwinghook.runtime.process;

import io.vertx.core.Future;

/** A process whose services are started and stopped together. */
public interface ManagedProcess {

    /**
     * Starts all services.
     *
     * @return a future that completes when the process listens on all its ports
     */
    Future<Void> start();

    /**
     * Refuses new work, completes the work in progress, stores what must be kept and closes all ports.
     *
     * @return a future that completes when the process has stopped
     */
    Future<Void> stopGracefully();

    /**
     * Stops as {@link #stopGracefully()} does. A process whose time to stop is limited from the stop signal on subtracts
     * the time that has passed since.
     *
     * @param signalAgeMillis time since the stop signal, in milliseconds
     * @return a future that completes when the process has stopped
     */
    default Future<Void> stopGracefully(long signalAgeMillis) {
        return stopGracefully();
    }
}
