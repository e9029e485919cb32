package org.redwinghook.runtime.wire;

import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.receive.PartAllowance;
import org.redwinghook.runtime.http.PacedRead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A connection on which messages are sent as frames. All methods and handlers run on the event loop of the socket. */
public final class PeerConnection {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerConnection.class);

    /** Number of frames that are processed before other connections have their turn. */
    private static final int MAXIMUM_FRAMES_AT_ONCE = 1_024;

    /** Number of frames per millisecond that are processed in the long run. */
    private static final int MAXIMUM_FRAMES_PER_MILLI = 10;

    private final NetSocket socket;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final RecordParser parser;
    private final PacedRead reading;
    private int expectedBodyBytes;
    private long messagesReceived;
    private Future<Void> lastWrite = Future.succeededFuture();
    private boolean open = true;
    private Consumer<Message> messageHandler = message -> {};
    private @Nullable Runnable closeHandler;

    /**
     * Creates a connection from a connected socket.
     *
     * @param socket the socket
     * @param codec encodes and decodes frames
     * @param metrics counts bytes and messages
     */
    public PeerConnection(NetSocket socket, FrameCodec codec, WireMetrics metrics) {
        this.socket = socket;
        this.codec = codec;
        this.metrics = metrics;
        this.parser = RecordParser.newFixed(FrameCodec.LENGTH_BYTES, socket);
        this.reading = new PacedRead(
                Vertx.currentContext().owner(),
                parser,
                new PartAllowance(MAXIMUM_FRAMES_AT_ONCE, MAXIMUM_FRAMES_PER_MILLI));
        parser.handler(this::handleFramePart);
        socket.exceptionHandler(failure -> close());
        socket.closeHandler(ignored -> handleClosed());
    }

    /**
     * Sets the handler of received messages.
     *
     * @param handler called for each message, in the order of receipt
     */
    public void onMessage(Consumer<Message> handler) {
        this.messageHandler = handler;
    }

    /**
     * Sets the handler of the end of the connection.
     *
     * @param handler called once when the connection has ended for any reason
     */
    public void onClose(Runnable handler) {
        this.closeHandler = handler;
    }

    /**
     * Sends a message. On a closed connection, whose close handler has been called, nothing is sent.
     *
     * @param message the message
     * @return a future that completes when the message has been passed to the operating system; fails if the connection
     *     ends before
     */
    public Future<Void> send(Message message) {
        if (!open) {
            return Future.failedFuture("the connection is closed");
        }
        Buffer frame = codec.encode(message);
        metrics.recordSent(frame.length());
        lastWrite = socket.write(frame);
        return lastWrite;
    }

    /**
     * Returns a future for the transfer of all messages sent so far to the operating system.
     *
     * @return a future that completes when all of them have been transferred; fails if the connection ends before
     */
    public Future<Void> whenFlushed() {
        return lastWrite;
    }

    /**
     * Returns the number of messages received, including undecodable ones.
     *
     * @return the number of messages
     */
    public long messagesReceived() {
        return messagesReceived;
    }

    /**
     * Returns whether the connection is open.
     *
     * @return false after the connection has ended
     */
    public boolean isOpen() {
        return open;
    }

    /**
     * Returns the address of the other process.
     *
     * @return host and port
     */
    public String remoteAddress() {
        return String.valueOf(socket.remoteAddress());
    }

    /** Closes the connection. */
    public void close() {
        socket.close();
        handleClosed();
    }

    private void handleFramePart(Buffer part) {
        if (!open) {
            // The parser goes on with the bytes that it already has.
            return;
        }
        if (expectedBodyBytes == 0) {
            expectBody(part.getInt(0));
            return;
        }
        expectedBodyBytes = 0;
        parser.fixedSizeMode(FrameCodec.LENGTH_BYTES);
        reading.record(1);
        messagesReceived++;
        metrics.recordReceived(part.length() + FrameCodec.LENGTH_BYTES);
        codec.decode(part)
                .onFailure(failure -> metrics.recordUndecodable())
                .onSuccess(message -> messageHandler.accept(message));
    }

    private void expectBody(int length) {
        if (length <= 0 || length > FrameCodec.MAXIMUM_BODY_BYTES) {
            LOGGER.warn("frame length out of range, closing connection peer={} length={}", remoteAddress(), length);
            close();
            return;
        }
        expectedBodyBytes = length;
        parser.fixedSizeMode(length);
    }

    private void handleClosed() {
        if (!open) {
            return;
        }
        open = false;
        if (closeHandler != null) {
            closeHandler.run();
        }
    }
}
