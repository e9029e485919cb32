package org.redwinghook.runtime.process;

import java.io.IOException;

import io.vertx.core.Future;
import org.redwinghook.runtime.settings.Address;

/** Names the address in the failure to listen on it; the failure of Vert.x does not. */
public final class ListenErrors {

    private ListenErrors() {}

    /**
     * Adds the address to a failure.
     *
     * @param address the address
     * @param listen completes when a server listens
     * @param <T> type of the server
     * @return the same, with the address in the message of a failure
     */
    public static <T> Future<T> withAddress(Address address, Future<T> listen) {
        return listen.recover(failure -> Future.failedFuture(
                new IOException("cannot listen on " + address + ": " + failure.getMessage(), failure)));
    }
}
