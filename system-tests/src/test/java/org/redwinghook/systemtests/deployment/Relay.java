package org.redwinghook.systemtests.deployment;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import org.redwinghook.runtime.settings.Address;

/** TCP relay on a link between two processes that can cut, stall or delay it. Runs on one event loop. */
public final class Relay {

    private final Vertx vertx;
    private final Context context;
    private final NetClient client;
    private final NetServer server;
    private final Address target;
    private final Set<RelayedConnection> connections = new HashSet<>();
    private Mode mode = Mode.FORWARD;

    /**
     * Creates a relay that does not listen yet.
     *
     * @param vertx runs it; must have a single event loop
     * @param listen where clients connect
     * @param target where connections lead
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
     * Starts to listen.
     *
     * @return completes when the port is open
     */
    public Future<Void> start() {
        return server.listen().mapEmpty();
    }

    /**
     * Changes what happens to bytes and connections. May be called from any thread.
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

    private void handleConnection(NetSocket inbound) {
        if (mode == Mode.DISCONNECT) {
            inbound.close();
            return;
        }
        inbound.pause();
        client.connect(target.port(), target.host())
                .onFailure(failure -> inbound.close())
                .onSuccess(outbound -> {
                    RelayedConnection connection = new RelayedConnection(inbound, outbound);
                    connections.add(connection);
                    connection.start();
                });
    }

    /** What a relay does to its link. */
    public enum Mode {
        /** Bytes pass. */
        FORWARD(true, true, 0),
        /** Bytes pass with a delay of 50 ms. */
        DELAY(true, true, 50),
        /** Connections stay open and carry nothing. */
        STALL(false, false, 0),
        /** Connections stay open and carry nothing towards the server. */
        STALL_TO_SERVER(false, true, 0),
        /** Connections stay open and carry nothing towards the client. */
        STALL_TO_CLIENT(true, false, 0),
        /** Connections are closed, and new ones too. */
        DISCONNECT(false, false, 0);

        private final boolean forwardsToServer;
        private final boolean forwardsToClient;
        private final long delayMillis;

        Mode(boolean toServer, boolean toClient, long delayMillis) {
            this.forwardsToServer = toServer;
            this.forwardsToClient = toClient;
            this.delayMillis = delayMillis;
        }
    }

    private final class RelayedConnection {

        private final NetSocket inbound;
        private final NetSocket outbound;
        private final Deque<Runnable> pendingToServer = new ArrayDeque<>();
        private final Deque<Runnable> pendingToClient = new ArrayDeque<>();

        RelayedConnection(NetSocket inbound, NetSocket outbound) {
            this.inbound = inbound;
            this.outbound = outbound;
        }

        void start() {
            inbound.handler(buffer -> runInOrder(pendingToServer, () -> outbound.write(buffer)));
            outbound.handler(buffer -> runInOrder(pendingToClient, () -> inbound.write(buffer)));
            inbound.closeHandler(ignored -> runInOrder(pendingToServer, this::close));
            outbound.closeHandler(ignored -> runInOrder(pendingToClient, this::close));
            applyMode();
        }

        void applyMode() {
            setReading(inbound, mode.forwardsToServer);
            setReading(outbound, mode.forwardsToClient);
        }

        void close() {
            connections.remove(this);
            inbound.close();
            outbound.close();
        }

        private void setReading(NetSocket socket, boolean isReading) {
            if (isReading) {
                socket.resume();
            } else {
                socket.pause();
            }
        }

        /** Runs actions of one direction in their order, also when the delay changes between them. */
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
