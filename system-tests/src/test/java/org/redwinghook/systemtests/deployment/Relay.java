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
    private final Set<Pair> pairs = new HashSet<>();
    private Mode mode = Mode.PASS;

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
                .connectHandler(this::connect);
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
     * @param value the new mode
     */
    public void set(Mode value) {
        context.runOnContext(ignored -> {
            mode = value;
            Set.copyOf(pairs).forEach(value == Mode.CUT ? Pair::close : Pair::apply);
        });
    }

    private void connect(NetSocket inbound) {
        if (mode == Mode.CUT) {
            inbound.close();
            return;
        }
        inbound.pause();
        client.connect(target.port(), target.host())
                .onFailure(failure -> inbound.close())
                .onSuccess(outbound -> {
                    Pair pair = new Pair(inbound, outbound);
                    pairs.add(pair);
                    pair.start();
                });
    }

    /** What a relay does to its link. */
    public enum Mode {
        /** Bytes pass. */
        PASS(true, true, 0),
        /** Bytes pass with a delay of 50 ms. */
        DELAY(true, true, 50),
        /** Connections stay open and carry nothing. */
        STALL(false, false, 0),
        /** Connections stay open and carry nothing towards the server. */
        STALL_TO_SERVER(false, true, 0),
        /** Connections stay open and carry nothing towards the client. */
        STALL_TO_CLIENT(true, false, 0),
        /** Connections are closed, and new ones too. */
        CUT(false, false, 0);

        private final boolean toServer;
        private final boolean toClient;
        private final long delayMillis;

        Mode(boolean toServer, boolean toClient, long delayMillis) {
            this.toServer = toServer;
            this.toClient = toClient;
            this.delayMillis = delayMillis;
        }
    }

    private final class Pair {

        private final NetSocket inbound;
        private final NetSocket outbound;
        private final Deque<Runnable> toServer = new ArrayDeque<>();
        private final Deque<Runnable> toClient = new ArrayDeque<>();

        Pair(NetSocket inbound, NetSocket outbound) {
            this.inbound = inbound;
            this.outbound = outbound;
        }

        void start() {
            inbound.handler(buffer -> later(toServer, () -> outbound.write(buffer)));
            outbound.handler(buffer -> later(toClient, () -> inbound.write(buffer)));
            inbound.closeHandler(ignored -> later(toServer, this::close));
            outbound.closeHandler(ignored -> later(toClient, this::close));
            apply();
        }

        void apply() {
            flow(inbound, mode.toServer);
            flow(outbound, mode.toClient);
        }

        void close() {
            pairs.remove(this);
            inbound.close();
            outbound.close();
        }

        private void flow(NetSocket socket, boolean flows) {
            if (flows) {
                socket.resume();
            } else {
                socket.pause();
            }
        }

        /** Runs actions of one direction in their order, also when the delay changes between them. */
        private void later(Deque<Runnable> direction, Runnable action) {
            if (mode.delayMillis == 0 && direction.isEmpty()) {
                action.run();
                return;
            }
            direction.add(action);
            vertx.setTimer(
                    Math.max(1, mode.delayMillis), ignored -> direction.remove().run());
        }
    }
}
