package org.redwinghook.runtime.process;

import java.io.IOException;

import io.vertx.core.Future;
import org.redwinghook.runtime.settings.Address;

/**
 * Adds the address to the error of a failed attempt to listen on it, which the exception of Vert.x does not contain.
 */
public final class ListenErrors {

    private ListenErrors() {}

    /**
     * Adds the address to the message of a failure.
     *
     * @param address address to listen on
     * @param listen future that completes when the server listens
     * @param <T> type of the server
     * @return a future with the same result, or a failure whose message contains the address
     */
    public static <T> Future<T> withAddress(Address address, Future<T> listen) {
        return listen.recover(failure -> Future.failedFuture(
                new IOException("cannot listen on " + address + ": " + failure.getMessage(), failure)));
    }
}
