package org.redwinghook.runtime.wire;

import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.message.Message;

/**
 * Sends heartbeats on a connection and closes it when no message has been received for the timeout. Heartbeats are not
 * acknowledged; both ends send their own.
 */
public final class LivenessMonitor {

    /** Default interval between heartbeats, in milliseconds. */
    public static final long HEARTBEAT_INTERVAL_MILLIS = 5_000;

    /** Default time without a received message after which the connection is closed, in milliseconds. */
    public static final long TIMEOUT_MILLIS = 15_000;

    private final Vertx vertx;
    private final PeerConnection connection;
    private final Supplier<Message> heartbeat;
    private final long timeoutMillis;
    private final long timer;
    private long lastMessageCount;
    private long silentMillis;

    /**
     * Starts monitoring a connection with the default interval and timeout.
     *
     * @param vertx Vert.x instance that runs the timer
     * @param connection the connection
     * @param heartbeat creates the heartbeats
     */
    public LivenessMonitor(Vertx vertx, PeerConnection connection, Supplier<Message> heartbeat) {
        this(vertx, connection, heartbeat, HEARTBEAT_INTERVAL_MILLIS, TIMEOUT_MILLIS);
    }

    /**
     * Starts monitoring a connection.
     *
     * @param vertx Vert.x instance that runs the timer
     * @param connection the connection
     * @param heartbeat creates the heartbeats
     * @param intervalMillis interval between heartbeats, in milliseconds
     * @param timeoutMillis time without a received message after which the connection is closed, in milliseconds;
     *     checked
     *     before each heartbeat
     */
    public LivenessMonitor(
            Vertx vertx,
            PeerConnection connection,
            Supplier<Message> heartbeat,
            long intervalMillis,
            long timeoutMillis) {
        this.vertx = vertx;
        this.connection = connection;
        this.heartbeat = heartbeat;
        this.timeoutMillis = timeoutMillis;
        this.lastMessageCount = connection.messagesReceived();
        this.timer = vertx.setPeriodic(intervalMillis, ignored -> check(intervalMillis));
    }

    /** Stops monitoring. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void check(long intervalMillis) {
        // The time is counted in timer intervals, so that a pause of this process does not look like silence of the
        // peer.
        silentMillis = connection.messagesReceived() == lastMessageCount ? silentMillis + intervalMillis : 0;
        lastMessageCount = connection.messagesReceived();
        if (silentMillis >= timeoutMillis) {
            connection.close();
            return;
        }
        connection.send(heartbeat.get());
    }
}
