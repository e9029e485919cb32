package org.redwinghook.runtime.wire;

import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.jspecify.annotations.Nullable;
import org.redwinghook.runtime.settings.Address;

/** Accepts connections of other processes. */
public final class PeerServer {

    private final Vertx vertx;
    private final Address address;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final Consumer<PeerConnection> onConnection;
    private @Nullable NetServer server;

    /**
     * Creates the server.
     *
     * @param vertx runs it
     * @param address where to listen
     * @param codec encodes and decodes frames
     * @param metrics counts bytes and messages
     * @param onConnection receives each new connection
     */
    public PeerServer(
            Vertx vertx,
            Address address,
            FrameCodec codec,
            WireMetrics metrics,
            Consumer<PeerConnection> onConnection) {
        this.vertx = vertx;
        this.address = address;
        this.codec = codec;
        this.metrics = metrics;
        this.onConnection = onConnection;
    }

    /**
     * Starts to listen.
     *
     * @return the port
     */
    public Future<Integer> start() {
        NetServer created = vertx.createNetServer(new NetServerOptions().setTcpNoDelay(true));
        server = created;
        return created.connectHandler(this::accept)
                .listen(address.port(), address.host())
                .map(NetServer::actualPort);
    }

    /**
     * Stops to listen and closes all connections.
     *
     * @return completes when the port is closed
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void accept(NetSocket socket) {
        onConnection.accept(new PeerConnection(socket, codec, metrics));
    }
}
