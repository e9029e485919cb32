package org.redwinghook.router.peer;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Message;
import org.redwinghook.runtime.config.ConnectionPeer;
import org.redwinghook.runtime.wire.PeerConnection;

/** One open connection between two routers, whichever of them opened it. */
final class MeshConnection {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final PeerConnection connection;
    private final MeshSetup setup;
    private final boolean isOpener;
    private @Nullable ConnectionPeer peer;
    private long lastHeardNanos = System.nanoTime();

    MeshConnection(PeerConnection connection, MeshSetup setup, boolean isOpener, Runnable onClose) {
        this.connection = connection;
        this.setup = setup;
        this.isOpener = isOpener;
        connection.onMessage(this::receive);
        connection.onClose(() -> {
            if (peer != null) {
                setup.listener().closed(peer);
            }
            onClose.run();
        });
        if (isOpener) {
            connection.send(setup.hello().get());
        }
    }

    /** Closes the connection if it has been silent for too long, otherwise sends a heartbeat. */
    void beat() {
        if (System.nanoTime() - lastHeardNanos > setup.timing().silenceMillis() * NANOS_PER_MILLI) {
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

    private void receive(Message message) {
        lastHeardNanos = System.nanoTime();
        if (message instanceof Hello greeting) {
            greeted(greeting);
        }
        if (peer != null) {
            setup.listener().received(peer, message);
            setup.dispatcher().dispatch(connection, message);
        }
    }

    private void greeted(Hello greeting) {
        if (greeting.protocolVersion() != setup.hello().get().protocolVersion()) {
            connection.close();
            return;
        }
        if (peer != null) {
            return;
        }
        if (!isOpener) {
            connection.send(setup.hello().get());
        }
        peer = new ConnectionPeer(greeting.process(), connection);
        setup.listener().opened(peer);
    }
}
