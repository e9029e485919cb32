package org.redwinghook.sidecar;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.CallRequest;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.GenerationRequest;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.LeavingAcknowledgement;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.message.Submit;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.WireMetrics;
import org.testng.Assert;

/** Router's end of a connection, from which a test thread receives messages synchronously. */
final class RouterClient {

    private static final long RECEIVE_TIMEOUT_SECONDS = 10;

    /** Kept because Vert.x closes the connections of a client that is garbage-collected. */
    private final NetClient client;

    private final Context context;
    private final PeerConnection connection;
    private final LinkedBlockingQueue<Message> received = new LinkedBlockingQueue<>();

    private volatile @Nullable EndpointLoad lastLoad;

    RouterClient(Vertx vertx, int port) {
        context = vertx.getOrCreateContext();
        WireMetrics metrics = new WireMetrics(new SimpleMeterRegistry());
        client = vertx.createNetClient();
        connection = client.connect(port, "127.0.0.1")
                .map(socket -> {
                    PeerConnection opened = new PeerConnection(socket, new FrameCodec(), metrics);
                    opened.onMessage(message -> {
                        if (message instanceof Heartbeat heartbeat) {
                            lastLoad = heartbeat.load();
                        } else if (!(message instanceof Hello)) {
                            received.add(message);
                        }
                    });
                    return opened;
                })
                .await();
    }

    void send(Message message) {
        context.runOnContext(ignored -> connection.send(message));
    }

    void sendHello() {
        send(new Hello(1, "router", 1, ProcessRole.ROUTER, null, "dc", 0));
    }

    /** Sends the confirmation of a router that has read the notice that the endpoint leaves. */
    void confirmLeaving() {
        send(new LeavingAcknowledgement(0));
    }

    /** Whether the last heartbeat reported this value of "accepting"; false before the first heartbeat. */
    boolean isAcceptingReportedAs(boolean accepting) {
        EndpointLoad load = lastLoad;
        return load != null && load.accepting() == accepting;
    }

    void close() {
        context.runOnContext(ignored -> connection.close());
    }

    /** Sends a non-idempotent call; a null key means none. */
    void sendCall(long exchange, String key, String body, long timeoutMillis) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        CallRequest call = new CallRequest("POST", "/orders", "text/plain", bytes, key, false);
        send(new Submit(exchange, SidecarUnderTest.SERVICE, "o", "yoga", 1, timeoutMillis, 0, null, call));
    }

    void sendGeneration(long exchange, int credit) {
        GenerationRequest request = new GenerationRequest("m", "prompt", 3, 10_000);
        send(new Submit(exchange, SidecarUnderTest.SERVICE, "o", "yoga", 1, 5_000, credit, request, null));
    }

    Message next() {
        try {
            Message message = received.poll(RECEIVE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            Assert.assertNotNull(message, "no message from the sidecar");
            return message;
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }

    <M extends Message> M next(Class<M> type) {
        Message message = next();
        Assert.assertTrue(type.isInstance(message), "expected " + type.getSimpleName() + ", received " + message);
        return type.cast(message);
    }
}
