package org.redwinghook.runtime.wire;

import java.util.List;
import java.util.Optional;

import io.vertx.core.Future;
import org.redwinghook.core.membership.Member;

/** Connections to other routers. */
public interface PeerDirectory {

    /**
     * Returns the connection to a router.
     *
     * @param process name of the router's process
     * @return the open connection; empty if there is none, in which case the directory may start to open one
     */
    Optional<PeerConnection> findConnection(String process);

    /**
     * Returns the routers of all regions that are not leaving, including this router.
     *
     * @return the routers' entries in the VM list
     */
    List<Member> routers();

    /**
     * Returns the connection to a process and opens one if there is none.
     *
     * @param process name of the process
     * @return the connection; fails if it cannot be opened
     */
    default Future<PeerConnection> connect(String process) {
        return findConnection(process)
                .map(Future::succeededFuture)
                .orElseGet(() -> Future.failedFuture("there is no connection to " + process));
    }
}
