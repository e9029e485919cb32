package org.redwinghook.standins.relay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import io.netty.channel.ChannelOption;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.net.NetSocketInternal;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.redwinghook.runtime.settings.Address;

/** TCP relay between two processes that injects network faults into their link. Runs on a single event loop. */
public final class Relay {

    private final Vertx vertx;
    private final Context context;
    private final NetClient client;
    private final NetServer server;
    private final Address target;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private Mode mode = Mode.FORWARD;

    /**
     * Creates a relay that is not listening yet.
     *
     * @param vertx Vert.x instance with a single event loop
     * @param listen address on which the relay accepts connections
     * @param target address to which connections are relayed
     */
    public Relay(Vertx vertx, Address listen, Address target) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.client = vertx.createNetClient();
        this.target = target;
        this.server = vertx.createNetServer(
                        new NetServerOptions().setHost(listen.host()).setPort(listen.port()))
                .connectHandler(this::handleConnection);
    }

    /**
     * Starts listening.
     *
     * @return completes when the port is open
     */
    public Future<Void> start() {
        return server.listen().mapEmpty();
    }

    /**
     * Sets the mode, also for open connections. May be called from any thread.
     *
     * @param newMode the new mode
     */
    public void setMode(Mode newMode) {
        context.runOnContext(ignored -> {
            mode = newMode;
            Set.copyOf(connections)
                    .forEach(newMode == Mode.DISCONNECT ? RelayedConnection::close : RelayedConnection::applyMode);
        });
    }

    /** Resets all open connections. May be called from any thread. */
    public void reset() {
        context.runOnContext(ignored -> Set.copyOf(connections).forEach(RelayedConnection::reset));
    }

    private void handleConnection(NetSocket clientSocket) {
        if (mode == Mode.DISCONNECT) {
            clientSocket.close();
            return;
        }
        clientSocket.pause();
        client.connect(target.port(), target.host())
                .onFailure(failure -> clientSocket.close())
                .onSuccess(serverSocket -> {
                    RelayedConnection connection = new RelayedConnection(clientSocket, serverSocket);
                    connections.add(connection);
                    connection.start();
                });
    }

    /** Treatment of connections and their data. */
    public enum Mode {
        /** Data is forwarded at once. */
        FORWARD(true, true, 0),
        /** Data is forwarded with a delay of 50 ms. */
        DELAY(true, true, 50),
        /** Connections stay open, but no data is forwarded. */
        STALL(false, false, 0),
        /** Connections stay open, but no data is forwarded to the server. */
        STALL_TO_SERVER(false, true, 0),
        /** Connections stay open, but no data is forwarded to the client. */
        STALL_TO_CLIENT(true, false, 0),
        /** Open connections are closed, and new ones are closed at once. */
        DISCONNECT(false, false, 0);

        private final boolean forwardsToServer;
        private final boolean forwardsToClient;
        private final long delayMillis;

        Mode(boolean forwardsToServer, boolean forwardsToClient, long delayMillis) {
            this.forwardsToServer = forwardsToServer;
            this.forwardsToClient = forwardsToClient;
            this.delayMillis = delayMillis;
        }
    }

    private final class RelayedConnection {

        private final NetSocket clientSocket;
        private final NetSocket serverSocket;
        private final Deque<Runnable> pendingToServer = new ArrayDeque<>();
        private final Deque<Runnable> pendingToClient = new ArrayDeque<>();

        RelayedConnection(NetSocket clientSocket, NetSocket serverSocket) {
            this.clientSocket = clientSocket;
            this.serverSocket = serverSocket;
        }

        void start() {
            clientSocket.handler(buffer -> runInOrder(pendingToServer, () -> serverSocket.write(buffer)));
            serverSocket.handler(buffer -> runInOrder(pendingToClient, () -> clientSocket.write(buffer)));
            clientSocket.closeHandler(ignored -> runInOrder(pendingToServer, this::close));
            serverSocket.closeHandler(ignored -> runInOrder(pendingToClient, this::close));
            applyMode();
        }

        void applyMode() {
            setReading(clientSocket, mode.forwardsToServer);
            setReading(serverSocket, mode.forwardsToClient);
        }

        void close() {
            connections.remove(this);
            clientSocket.close();
            serverSocket.close();
        }

        void reset() {
            discardOnClose(clientSocket);
            discardOnClose(serverSocket);
            close();
        }

        /** Makes the socket close with a reset in place of an orderly end. */
        private void discardOnClose(NetSocket socket) {
            ((NetSocketInternal) socket)
                    .channelHandlerContext()
                    .channel()
                    .config()
                    .setOption(ChannelOption.SO_LINGER, 0);
        }

        private void setReading(NetSocket socket, boolean isReading) {
            if (isReading) {
                socket.resume();
            } else {
                socket.pause();
            }
        }

        /** Runs the actions of one direction after the delay and in order, also if the delay changes between them. */
        private void runInOrder(Deque<Runnable> pendingActions, Runnable action) {
            if (mode.delayMillis == 0 && pendingActions.isEmpty()) {
                action.run();
                return;
            }
            pendingActions.add(action);
            vertx.setTimer(
                    Math.max(1, mode.delayMillis),
                    ignored -> pendingActions.remove().run());
        }
    }
}
