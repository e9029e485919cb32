package org.redwinghook.runtime.wire;

import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.message.Message;

/**
 * Sends heartbeats on a connection and closes it when nothing has arrived for {@link #TIMEOUT_MILLIS}. A heartbeat is
 * not answered; both ends send their own.
 */
public final class LivenessMonitor {

    /** Interval of heartbeats in milliseconds. */
    public static final long HEARTBEAT_INTERVAL_MILLIS = 5_000;

    /** Silence after which the other end counts as gone, in milliseconds. */
    public static final long TIMEOUT_MILLIS = 15_000;

    private final Vertx vertx;
    private final PeerConnection connection;
    private final Supplier<Message> heartbeat;
    private final long timeoutMillis;
    private final long timer;
    private long lastMessageCount;
    private long silentMillis;

    /**
     * Watches a connection with the usual times.
     *
     * @param vertx runs the timer
     * @param connection the connection
     * @param heartbeat makes the heartbeat
     */
    public LivenessMonitor(Vertx vertx, PeerConnection connection, Supplier<Message> heartbeat) {
        this(vertx, connection, heartbeat, HEARTBEAT_INTERVAL_MILLIS, TIMEOUT_MILLIS);
    }

    /**
     * Watches a connection.
     *
     * @param vertx runs the timer
     * @param connection the connection
     * @param heartbeat makes the heartbeat
     * @param intervalMillis interval of heartbeats
     * @param timeoutMillis silence after which the connection is closed; checked at each heartbeat
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

    /** Ends the watch. */
    public void stop() {
        vertx.cancelTimer(timer);
    }

    private void check(long intervalMillis) {
        // Silence is counted in timer ticks, so that a pause of this process is not taken for silence of the other.
        silentMillis = connection.messagesReceived() == lastMessageCount ? silentMillis + intervalMillis : 0;
        lastMessageCount = connection.messagesReceived();
        if (silentMillis >= timeoutMillis) {
            connection.close();
            return;
        }
        connection.send(heartbeat.get());
    }
}
