package org.redwinghook.runtime.wire;

import java.util.List;
import java.util.Optional;

import io.vertx.core.Future;
import org.redwinghook.core.membership.Member;

/** Connections to other routers. */
public interface PeerDirectory {

    /**
     * Connection to a router.
     *
     * @param process name of its process
     * @return the open connection; empty if there is none now, in which case one may be opened for later
     */
    Optional<PeerConnection> findConnection(String process);

    /**
     * Routers of all regions that are not leaving, with this router itself.
     *
     * @return members of the VM list
     */
    List<Member> routers();

    /**
     * Opens a connection to a process unless there is one.
     *
     * @param process name of the process
     * @return the connection, or a failure if it cannot be opened
     */
    default Future<PeerConnection> connect(String process) {
        return findConnection(process)
                .map(Future::succeededFuture)
                .orElseGet(() -> Future.failedFuture("there is no connection to " + process));
    }
}
