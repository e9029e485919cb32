package org.redwinghook.router.peer;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Message;
import org.redwinghook.runtime.config.ConnectionPeer;
import org.redwinghook.runtime.wire.PeerConnection;

/** An open connection between two routers, opened by either of them. */
final class MeshConnection {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PeerConnection connection;
    private final MeshSetup setup;
    private final boolean isInitiator;
    private @Nullable ConnectionPeer peer;
    private long lastReceivedNanos = System.nanoTime();

    MeshConnection(PeerConnection connection, MeshSetup setup, boolean isInitiator, Runnable onClose) {
        this.connection = connection;
        this.setup = setup;
        this.isInitiator = isInitiator;
        connection.onMessage(this::handleMessage);
        connection.onClose(() -> {
            if (peer != null) {
                setup.listener().handleDisconnected(peer);
            }
            onClose.run();
        });
        if (isInitiator) {
            connection.send(setup.hello().get());
        }
    }

    /** Closes the connection if no message has arrived for too long, otherwise sends a heartbeat. */
    void checkLiveness() {
        if (System.nanoTime() - lastReceivedNanos > setup.timing().silenceMillis() * NANOS_PER_MILLI) {
            connection.close();
            return;
        }
        if (peer != null) {
            connection.send(new Heartbeat(setup.hello().get().configurationOffset(), null));
        }
    }

    void close() {
        connection.close();
    }

    private void handleMessage(Message message) {
        lastReceivedNanos = System.nanoTime();
        if (message instanceof Hello hello) {
            handleHello(hello);
        }
        if (peer != null) {
            setup.listener().handleMessage(peer, message);
            setup.dispatcher().dispatch(connection, message);
        }
    }

    private void handleHello(Hello hello) {
        if (hello.protocolVersion() != setup.hello().get().protocolVersion()) {
            connection.close();
            return;
        }
        if (peer != null) {
            return;
        }
        if (!isInitiator) {
            connection.send(setup.hello().get());
        }
        peer = new ConnectionPeer(hello.process(), connection);
        setup.listener().handleConnected(peer);
    }
}
