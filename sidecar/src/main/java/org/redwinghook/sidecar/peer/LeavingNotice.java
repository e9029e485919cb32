package org.redwinghook.sidecar.peer;

import java.util.HashSet;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.runtime.wire.PeerConnection;

/**
 * Tracks which routers have confirmed that the endpoint takes no new work. A router may send work until it has read the
 * notice, so a stopping sidecar stays until all of them have.
 */
public final class LeavingNotice {

    private final Set<PeerConnection> routers = new HashSet<>();
    private final Set<PeerConnection> confirmedRouters = new HashSet<>();
    private @Nullable Promise<Void> confirmedPromise;

    /**
     * Adds the connection of a router.
     *
     * @param connection the connection
     */
    public void add(PeerConnection connection) {
        routers.add(connection);
    }

    /**
     * Removes a connection that has ended.
     *
     * @param connection the connection
     */
    public void remove(PeerConnection connection) {
        routers.remove(connection);
        confirmedRouters.remove(connection);
        completeIfConfirmed();
    }

    /**
     * Records the confirmation of a router.
     *
     * @param connection connection to the router
     */
    public void confirm(PeerConnection connection) {
        confirmedRouters.add(connection);
        completeIfConfirmed();
    }

    /**
     * Sends the notice to all connected routers. Confirmations of earlier ones do not count, as the endpoint may have
     * taken new work since.
     *
     * @param notice heartbeat with a load that takes no new work
     */
    public void send(Heartbeat notice) {
        confirmedRouters.clear();
        routers.forEach(router -> router.send(notice));
    }

    /**
     * Returns the number of connected routers that have not confirmed the notice.
     *
     * @return the number
     */
    public int unconfirmed() {
        return (int) routers.stream()
                .filter(router -> !confirmedRouters.contains(router))
                .count();
    }

    /**
     * Waits for the confirmations.
     *
     * @return a future that completes when every connected router has confirmed the notice
     */
    public Future<Void> whenConfirmed() {
        Promise<Void> promise = confirmedPromise;
        if (promise == null) {
            promise = Promise.promise();
            confirmedPromise = promise;
        }
        completeIfConfirmed();
        return promise.future();
    }

    private void completeIfConfirmed() {
        if (confirmedPromise != null && unconfirmed() == 0) {
            confirmedPromise.tryComplete();
        }
    }
}
