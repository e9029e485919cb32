package org.redwinghook.router.peer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.membership.Member;
import org.redwinghook.runtime.wire.PeerConnection;

/** Maintains an outgoing connection to another router. */
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

    /** Returns whether the last attempt to connect failed. */
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
