package org.redwinghook.runtime.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.jspecify.annotations.Nullable;
import org.redwinghook.runtime.process.ListenErrors;
import org.redwinghook.runtime.settings.Address;

/** Accepts connections of other processes. */
public final class PeerServer {

    /** Longest wait for the last messages at a stop; a connection that takes longer is stalled. */
    private static final long FLUSH_TIMEOUT_MILLIS = 5_000;

    private final Vertx vertx;
    private final Address address;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final Consumer<PeerConnection> onConnection;
    private final List<PeerConnection> connections = new ArrayList<>();
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
        return ListenErrors.withAddress(
                        address, created.connectHandler(this::handleSocket).listen(address.port(), address.host()))
                .map(NetServer::actualPort);
    }

    /**
     * Stops to listen and closes all connections once the messages sent on them are written.
     *
     * @return completes when the port is closed
     */
    public Future<Void> stop() {
        NetServer listening = server;
        if (listening == null) {
            return Future.succeededFuture();
        }
        List<Future<Void>> writes =
                connections.stream().map(PeerConnection::whenFlushed).toList();
        return Future.join(writes)
                .timeout(FLUSH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .transform(ignored -> listening.close());
    }

    private void handleSocket(NetSocket socket) {
        connections.removeIf(connection -> !connection.isOpen());
        PeerConnection connection = new PeerConnection(socket, codec, metrics);
        connections.add(connection);
        onConnection.accept(connection);
    }
}
