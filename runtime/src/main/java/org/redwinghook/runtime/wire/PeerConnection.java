package org.redwinghook.runtime.wire;

import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.Message;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One framed connection. All methods and handlers run on the event loop of the socket. */
public final class PeerConnection {

    private static final Logger LOGGER = LoggerFactory.getLogger(PeerConnection.class);

    private final NetSocket socket;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final RecordParser parser;
    private int expectedBodyBytes;
    private long messagesReceived;
    private Future<Void> lastWrite = Future.succeededFuture();
    private boolean open = true;
    private Consumer<Message> messageHandler = message -> {};
    private @Nullable Runnable closeHandler;

    /**
     * Takes over a connected socket.
     *
     * @param socket the socket
     * @param codec encodes and decodes frames
     * @param metrics counts bytes and messages
     */
    public PeerConnection(NetSocket socket, FrameCodec codec, WireMetrics metrics) {
        this.socket = socket;
        this.codec = codec;
        this.metrics = metrics;
        this.parser = RecordParser.newFixed(FrameCodec.LENGTH_BYTES, this::handleFramePart);
        socket.handler(parser::handle);
        socket.exceptionHandler(failure -> close());
        socket.closeHandler(ignored -> handleClosed());
    }

    /**
     * Sets the receiver of messages.
     *
     * @param handler called for each message in order
     */
    public void onMessage(Consumer<Message> handler) {
        this.messageHandler = handler;
    }

    /**
     * Sets what runs once when the connection has ended, for whatever reason.
     *
     * @param handler called once
     */
    public void onClose(Runnable handler) {
        this.closeHandler = handler;
    }

    /**
     * Sends a message. Nothing happens on a closed connection; its close handler has told the user.
     *
     * @param message the message
     * @return completes when the operating system took the message, fails if the connection ended before
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
     * Waits until the operating system took all messages sent so far.
     *
     * @return completes then, fails if the connection ended before
     */
    public Future<Void> whenFlushed() {
        return lastWrite;
    }

    /**
     * Messages received, undecodable ones included.
     *
     * @return their number
     */
    public long messagesReceived() {
        return messagesReceived;
    }

    /**
     * Whether the connection is open.
     *
     * @return false after it ended
     */
    public boolean isOpen() {
        return open;
    }

    /**
     * Address of the other end.
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

    private void handleFramePart(Buffer record) {
        if (expectedBodyBytes == 0) {
            expectBody(record.getInt(0));
            return;
        }
        expectedBodyBytes = 0;
        parser.fixedSizeMode(FrameCodec.LENGTH_BYTES);
        messagesReceived++;
        metrics.recordReceived(record.length() + FrameCodec.LENGTH_BYTES);
        codec.decode(record)
                .onFailure(failure -> metrics.recordUndecodable())
                .onSuccess(message -> messageHandler.accept(message));
    }

    private void expectBody(int length) {
        if (length <= 0 || length > FrameCodec.MAXIMUM_BODY_BYTES) {
            LOGGER.warn("closing connection to {}: frame length {} is not allowed", remoteAddress(), length);
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
