package org.redwinghook.experiments.capacity;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.redwinghook.core.message.ConfigurationAnnouncement;
import org.redwinghook.core.message.ConfigurationPull;
import org.redwinghook.core.message.ConfigurationRecords;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.message.QuotaRequest;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerServer;
import org.redwinghook.runtime.wire.WireMetrics;

/** Simulated idle sidecars and routers in this JVM, which exchange hello messages and heartbeats in real frames. */
public final class FakePeers {

    /** Data centre of all measured processes and peers. */
    public static final String DATA_CENTRE = "hu-central-1";

    private static final String LOOPBACK = "127.0.0.1";
    private static final int PROTOCOL_VERSION = 1;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 5_000;
    private static final long ANNOUNCEMENT_CHECK_INTERVAL_MILLIS = 100;
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long QUOTA_TOKENS = 256;
    private static final EndpointLoad IDLE_LOAD = new EndpointLoad(0, 0, 32, 0.25, 0, true);

    private final Vertx vertx;
    private final FrameCodec codec = new FrameCodec();
    private final WireMetrics metrics = new WireMetrics(new SimpleMeterRegistry());
    private final NetClient client;
    private final PeerServer sidecars;
    private final PeerServer routers;
    private final Set<FakePeer> openPeers = new HashSet<>();
    private int lastPeerNumber;
    private long lastExchangeNumber;

    /**
     * Creates the servers of the peers without starting them.
     *
     * @param vertx Vert.x instance of the peers, with one event loop
     */
    public FakePeers(Vertx vertx) {
        this.vertx = vertx;
        client = vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true));
        Address loopback = new Address(LOOPBACK, 0);
        sidecars = new PeerServer(
                vertx, loopback, codec, metrics, connection -> new FakePeer(connection, ProcessRole.SIDECAR)
                        .acceptMessages());
        routers = new PeerServer(
                vertx, loopback, codec, metrics, connection -> new FakePeer(connection, ProcessRole.ROUTER)
                        .acceptMessages());
    }

    /**
     * Starts the servers and the heartbeats.
     *
     * @return port of the sidecars and port of the routers, in this order
     */
    public Future<List<Integer>> start() {
        vertx.setPeriodic(
                HEARTBEAT_INTERVAL_MILLIS, ignored -> Set.copyOf(openPeers).forEach(FakePeer::sendHeartbeat));
        return sidecars.start().compose(first -> routers.start().map(second -> List.of(first, second)));
    }

    /**
     * Connects a router that announces new records of the log and sends them on request.
     *
     * @param port peer port of the process
     * @param platform platform with the log
     * @return completes when the router is connected
     */
    public Future<Void> connectRelay(int port, FakePlatform platform) {
        return client.connect(port, LOOPBACK)
                .map(socket -> new FakePeer(new PeerConnection(socket, codec, metrics), ProcessRole.ROUTER))
                .onSuccess(peer -> peer.startRelay(platform))
                .mapEmpty();
    }

    /**
     * Connects routers to a process.
     *
     * @param port peer port of the process
     * @param count number of routers
     * @param quotaRequestsPerSecond rate of quota requests from the first router
     * @return completes when all routers are connected
     */
    public Future<Void> connectRouters(int port, int count, int quotaRequestsPerSecond) {
        List<Future<Void>> connecting = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            int rate = index == 0 ? quotaRequestsPerSecond : 0;
            connecting.add(client.connect(port, LOOPBACK)
                    .map(socket -> new FakePeer(new PeerConnection(socket, codec, metrics), ProcessRole.ROUTER))
                    .onSuccess(peer -> peer.startRouter(rate))
                    .mapEmpty());
        }
        return Future.all(connecting).mapEmpty();
    }

    private final class FakePeer {

        private final PeerConnection connection;
        private final ProcessRole role;
        private final String name = "fake-" + ++lastPeerNumber;
        private long offset;

        FakePeer(PeerConnection connection, ProcessRole role) {
            this.connection = connection;
            this.role = role;
            openPeers.add(this);
            connection.onClose(() -> openPeers.remove(this));
        }

        void acceptMessages() {
            connection.onMessage(this::handleMessage);
        }

        void startRouter(int quotaRequestsPerSecond) {
            connection.onMessage(this::updateOffset);
            connection.send(createHello());
            if (quotaRequestsPerSecond == 0) {
                return;
            }
            long timer = vertx.setPeriodic(MILLIS_PER_SECOND / quotaRequestsPerSecond, ignored -> sendQuotaRequest());
            connection.onClose(() -> {
                openPeers.remove(this);
                vertx.cancelTimer(timer);
            });
        }

        void startRelay(FakePlatform platform) {
            offset = platform.newestOffset();
            connection.onMessage(message -> {
                if (message instanceof ConfigurationPull pull) {
                    connection.send(new ConfigurationRecords(
                            pull.after(),
                            offset,
                            platform.recordsAfter(pull.after()),
                            List.of(),
                            List.of(),
                            false,
                            true));
                }
            });
            connection.send(createHello());
            long timer = vertx.setPeriodic(
                    ANNOUNCEMENT_CHECK_INTERVAL_MILLIS, ignored -> announceRecords(platform.newestOffset()));
            connection.onClose(() -> {
                openPeers.remove(this);
                vertx.cancelTimer(timer);
            });
        }

        private void announceRecords(long newestOffset) {
            if (newestOffset > offset) {
                offset = newestOffset;
                connection.send(new ConfigurationAnnouncement(newestOffset));
            }
        }

        void sendHeartbeat() {
            connection.send(new Heartbeat(offset, role == ProcessRole.SIDECAR ? IDLE_LOAD : null));
        }

        private void handleMessage(Message message) {
            if (message instanceof Hello) {
                connection.send(createHello());
                sendHeartbeat();
            }
            updateOffset(message);
        }

        private void updateOffset(Message message) {
            if (message instanceof ConfigurationAnnouncement announcement) {
                offset = announcement.offset();
            }
        }

        private void sendQuotaRequest() {
            connection.send(new QuotaRequest(
                    ++lastExchangeNumber,
                    FakePlatform.CUSTOMER_PREFIX + lastExchangeNumber % 10,
                    1,
                    0,
                    QUOTA_TOKENS,
                    0,
                    0,
                    0));
        }

        private Hello createHello() {
            String service = role == ProcessRole.SIDECAR ? FakePlatform.SERVICE : null;
            return new Hello(PROTOCOL_VERSION, name, 1, role, service, DATA_CENTRE, offset);
        }
    }
}
