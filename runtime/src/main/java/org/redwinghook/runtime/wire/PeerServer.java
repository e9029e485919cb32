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

/** Server that accepts connections of other processes. */
public final class PeerServer {

    /**
     * Maximum time to write the last messages at a stop, in milliseconds; a connection that takes longer is stalled.
     */
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
     * @param vertx Vert.x instance that runs the server
     * @param address address to listen on
     * @param codec encodes and decodes frames
     * @param metrics counts bytes and messages
     * @param onConnection called with each new connection
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
     * Starts listening.
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
     * Waits until all messages sent are written, then closes the port and all connections.
     *
     * @return a future that completes when the port is closed
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
