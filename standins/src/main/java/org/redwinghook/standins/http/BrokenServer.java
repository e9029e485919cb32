package org.redwinghook.standins.http;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/** Server that gives the same broken answer on each connection. */
public final class BrokenServer {

    private static final String HOST = "127.0.0.1";
    private static final long POLL_INTERVAL_MILLIS = 10;

    private final BrokenAnswer answer;
    private final NetServer server;
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger openConnections = new AtomicInteger();

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that the server runs on
     * @param answer what it answers to the first bytes of each connection
     */
    public BrokenServer(Vertx vertx, BrokenAnswer answer) {
        this.answer = answer;
        this.server = vertx.createNetServer().connectHandler(this::serve);
    }

    /**
     * Starts listening on a free port.
     *
     * @return the port on 127.0.0.1
     */
    public Future<Integer> start() {
        return server.listen(0, HOST).map(NetServer::actualPort);
    }

    /**
     * Number of connections so far.
     *
     * @return the number
     */
    public int connections() {
        return connections.get();
    }

    /**
     * Number of connections that neither side has closed.
     *
     * @return the number
     */
    public int openConnections() {
        return openConnections.get();
    }

    /**
     * Waits until the other side has closed all connections.
     *
     * @param millis maximum time to wait, in milliseconds
     * @throws InterruptedException if the thread is interrupted
     * @throws IllegalStateException if a connection is still open after that time
     */
    public void awaitClosed(long millis) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (openConnections.get() > 0) {
            if (System.nanoTime() > endNanos) {
                throw new IllegalStateException("connections still open: " + openConnections);
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private void serve(NetSocket socket) {
        connections.incrementAndGet();
        openConnections.incrementAndGet();
        socket.closeHandler(ignored -> openConnections.decrementAndGet());
        socket.handler(ignored -> {
            socket.handler(further -> {});
            answer.writeTo(socket, "");
        });
    }
}
