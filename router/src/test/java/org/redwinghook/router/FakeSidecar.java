package org.redwinghook.router;

import java.net.BindException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerServer;
import org.redwinghook.runtime.wire.WireMetrics;
import org.testng.Assert;

/** A sidecar whose answers are sent by the test. */
final class FakeSidecar {

    private static final String HOST = "127.0.1.1";

    /**
     * First port that sidecars listen on. The operating system assigns ephemeral ports from 32768 upwards to outgoing
     * connections and to listeners without a fixed port, also for other test runs on the machine. A sidecar that
     * restarts must find its previous port free.
     */
    private static final int FIRST_PORT = 20_000;

    private static final int PORT_COUNT = 12_000;
    private static final int MAXIMUM_PORT_ATTEMPTS = 50;

    private static final long WAIT_SECONDS = 5;

    final String vm;
    final String service;
    private final Vertx vertx;
    private final Context context;
    private final LinkedBlockingQueue<ReceivedMessage<Message>> received = new LinkedBlockingQueue<>();
    private final List<PeerConnection> connections = new ArrayList<>();
    private volatile boolean isSilent;
    private volatile long incarnation = 1;
    private volatile int port;
    private @Nullable PeerServer server;

    FakeSidecar(Vertx vertx, String vm, String service) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.vm = vm;
        this.service = service;
        listenOnFreePort();
    }

    JsonObject vmListEntry() {
        return new JsonObject()
                .put("vm", vm)
                .put("dataCentre", "dc")
                .put("role", "sidecar")
                .put("host", HOST)
                .put("peerPort", port)
                .put("adminPort", 1)
                .put("service", service);
    }

    private void listenOnFreePort() {
        for (int attempt = 1; ; attempt++) {
            port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            try {
                listen();
                return;
            } catch (Exception exception) {
                // Vert.x rethrows checked exceptions, such as a failure to bind, without declaring them.
                Assert.assertTrue(attempt < MAXIMUM_PORT_ATTEMPTS, "no free port: " + exception);
            }
        }
    }

    /**
     * Listens on the previous port again. The selector closes the socket of a stopped listener in its next iteration,
     * after the stop has completed, so the port may be in use for a moment.
     */
    private void listenAgain() throws Exception {
        RouterFixture.eventually(() -> {
            try {
                listen();
                return true;
            } catch (Exception exception) {
                // Vert.x rethrows checked exceptions, such as a failure to bind, without declaring them.
                Assert.assertTrue(exception.getCause() instanceof BindException, exception.toString());
                return false;
            }
        });
    }

    private void listen() {
        PeerServer created = new PeerServer(
                vertx,
                new Address(HOST, port),
                new FrameCodec(),
                new WireMetrics(new SimpleMeterRegistry()),
                this::accept);
        port = created.start().await();
        server = created;
    }

    void stop() {
        Objects.requireNonNull(server).stop().await();
    }

    /** Closes all connections and keeps listening. */
    void closeConnections() {
        context.runOnContext(ignored -> List.copyOf(connections).forEach(PeerConnection::close));
    }

    /** Reports on all connections that the endpoint takes no new work. */
    void reportLeaving() {
        Heartbeat notice = new Heartbeat(0, new EndpointLoad(0, 0, 10, 0, 0, false));
        context.runOnContext(ignored -> List.copyOf(connections).forEach(connection -> connection.send(notice)));
    }

    /** Simulates a restart as a process without the state of the previous one. */
    void restart() throws Exception {
        stop();
        incarnation++;
        listenAgain();
    }

    /** Stops answering all messages, including heartbeats, while its connections stay open. */
    void stopResponding() {
        isSilent = true;
    }

    /** Returns the next message of a type and drops messages of other types before it. */
    <M extends Message> ReceivedMessage<M> next(Class<M> type) throws InterruptedException {
        while (true) {
            ReceivedMessage<Message> next = received.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            Assert.assertNotNull(next, vm + " received no " + type.getSimpleName());
            if (type.isInstance(next.message)) {
                return new ReceivedMessage<>(this, next.connection, type.cast(next.message));
            }
        }
    }

    /** Returns the next message, or null if it is of another type or does not arrive in time. */
    <M extends Message> @Nullable M poll(Class<M> type, long millis) throws InterruptedException {
        ReceivedMessage<Message> next = received.poll(millis, TimeUnit.MILLISECONDS);
        return next == null || !type.isInstance(next.message) ? null : type.cast(next.message);
    }

    void assertNotReceived(Class<? extends Message> type, long millis) throws InterruptedException {
        Thread.sleep(millis);
        Assert.assertTrue(received.stream().noneMatch(next -> type.isInstance(next.message)), vm);
    }

    static EndpointLoad load() {
        return new EndpointLoad(0, 0, 10, 0, 0, true);
    }

    private void accept(PeerConnection connection) {
        connections.add(connection);
        connection.onClose(() -> connections.remove(connection));
        connection.onMessage(message -> handleMessage(connection, message));
    }

    private void handleMessage(PeerConnection connection, Message message) {
        if (isSilent) {
            return;
        }
        if (message instanceof Hello) {
            connection.send(new Hello(1, vm, incarnation, ProcessRole.SIDECAR, service, "dc", 0));
            connection.send(new Heartbeat(0, load()));
        } else if (message instanceof Heartbeat) {
            connection.send(new Heartbeat(0, load()));
        } else {
            received.add(new ReceivedMessage<>(this, connection, message));
        }
    }

    /** A received message and the connection for the answers. */
    record ReceivedMessage<M extends Message>(FakeSidecar sidecar, PeerConnection connection, M message) {

        void send(Message... answers) {
            sidecar.context.runOnContext(ignored -> {
                for (Message answer : answers) {
                    connection.send(answer);
                }
            });
        }
    }
}
