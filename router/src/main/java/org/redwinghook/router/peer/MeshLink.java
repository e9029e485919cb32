package org.redwinghook.router.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.membership.Member;
import org.redwinghook.runtime.wire.PeerConnection;

/** Keeps a connection to another router open. */
final class MeshLink {

    private final Vertx vertx;
    private final NetClient client;
    private final Member member;
    private final MeshSetup setup;
    private @Nullable MeshConnection connection;
    private boolean isUnreachable;
    private boolean isClosed;

    MeshLink(Vertx vertx, NetClient client, Member member, MeshSetup setup) {
        this.vertx = vertx;
        this.client = client;
        this.member = member;
        this.setup = setup;
    }

    void open() {
        if (isClosed) {
            return;
        }
        client.connect(member.peerPort(), member.host())
                .onSuccess(socket -> handleOpened(new PeerConnection(socket, setup.codec(), setup.metrics())))
                .onFailure(failure -> handleLost(true));
    }

    void checkLiveness() {
        if (connection != null) {
            connection.checkLiveness();
        }
    }

    void close() {
        isClosed = true;
        if (connection != null) {
            connection.close();
        }
    }

    Member member() {
        return member;
    }

    /** Whether the last attempt to connect failed. */
    boolean isUnreachable() {
        return isUnreachable;
    }

    private void handleOpened(PeerConnection opened) {
        if (isClosed) {
            opened.close();
            return;
        }
        isUnreachable = false;
        connection = new MeshConnection(opened, setup, true, () -> handleLost(false));
    }

    private void handleLost(boolean unreachable) {
        connection = null;
        isUnreachable = unreachable;
        if (!isClosed) {
            vertx.setTimer(setup.timing().reconnectMillis(), ignored -> open());
        }
    }
}
