package org.redwinghook.runtime.http;

import java.util.concurrent.TimeUnit;
import java.util.function.IntConsumer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.streams.ReadStream;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.receive.PartAllowance;
import org.redwinghook.core.receive.ReceiveLimits;

/** Reads the bodies of messages of other processes into memory, up to a limit. */
public final class MessageBody {

    /** Memory of a body of a few bytes. */
    private static final int MINIMUM_BUFFER_BYTES = 256;

    /** Number of parts of a body that are collected before other connections have their turn. */
    private static final int MAXIMUM_PARTS_AT_ONCE = 512;

    /** Number of parts of a body per millisecond that are collected in the long run. */
    private static final int MAXIMUM_PARTS_PER_MILLI = 100;

    private MessageBody() {}

    /**
     * Reads a body. It must be called on the message's event loop as soon as the message has arrived, since the rest of it
     * may arrive with the next event. After a failure the rest of the message is discarded; the caller closes its connection.
     *
     * @param message the message, none of whose body has been read
     * @param maximumBytes maximum size of the body, in bytes
     * @param onReceived receives the growth of the memory that the body takes, in bytes
     * @return the whole body; fails with a {@link MessageTooLargeException} as soon as it exceeds the maximum, or if the
     *     message ends early
     */
    public static Future<Buffer> read(ReadStream<Buffer> message, int maximumBytes, IntConsumer onReceived) {
        PacedRead pacing = new PacedRead(
                Vertx.currentContext().owner(),
                message,
                new PartAllowance(MAXIMUM_PARTS_AT_ONCE, MAXIMUM_PARTS_PER_MILLI));
        Collector collector = new Collector(maximumBytes, onReceived, pacing);
        Future<Buffer> body = collector.future();
        message.exceptionHandler(collector::fail);
        message.endHandler(ignored -> collector.complete());
        message.handler(collector::add);
        return body;
    }

    /**
     * Memory that a body takes, whose buffer doubles when it is full.
     *
     * @param length size of the body, in bytes
     * @return the memory, in bytes
     */
    public static int heldBytes(int length) {
        return length == 0 ? 0 : Math.max(MINIMUM_BUFFER_BYTES, Integer.highestOneBit(length - 1) << 1);
    }

    /**
     * Releases the part of a body that has been read and discards the rest.
     *
     * @param message the message, whose end has not been read
     */
    public static void discard(ReadStream<Buffer> message) {
        message.endHandler(null);
        message.exceptionHandler(ignored -> {});
        message.handler(ignored -> {});
    }

    /**
     * Reads the body of a response of at most {@link ReceiveLimits#MAXIMUM_MESSAGE_BYTES}. If that fails, the connection
     * is closed, so that the rest of the body takes no more time and belongs to no later request.
     *
     * @param response the response
     * @param timeoutMillis maximum time from the head of the response to the end of its body, in milliseconds
     * @return the whole body
     */
    public static Future<Buffer> read(HttpClientResponse response, long timeoutMillis) {
        return read(response, ReceiveLimits.MAXIMUM_MESSAGE_BYTES, ignored -> {})
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onFailure(failure -> response.request().connection().close());
    }

    /** Collects a body, and keeps nothing of it once it has ended: its message may be kept for longer. */
    private static final class Collector {

        private final int maximumBytes;
        private final IntConsumer onReceived;
        private final PacedRead pacing;
        private Buffer body = Buffer.buffer();
        private @Nullable Promise<Buffer> promise = Promise.promise();

        Collector(int maximumBytes, IntConsumer onReceived, PacedRead pacing) {
            this.maximumBytes = maximumBytes;
            this.onReceived = onReceived;
            this.pacing = pacing;
        }

        Future<Buffer> future() {
            Promise<Buffer> open = promise;
            return open == null ? Future.failedFuture("the body has ended") : open.future();
        }

        void add(Buffer part) {
            if (promise == null) {
                return;
            }
            if (part.length() > maximumBytes - body.length()) {
                fail(new MessageTooLargeException(maximumBytes));
                return;
            }
            int before = heldBytes(body.length());
            body.appendBuffer(part);
            onReceived.accept(heldBytes(body.length()) - before);
            pacing.record(1);
        }

        void complete() {
            Promise<Buffer> open = promise;
            Buffer complete = body;
            release();
            if (open != null) {
                open.tryComplete(complete);
            }
        }

        void fail(Throwable failure) {
            Promise<Buffer> open = promise;
            release();
            if (open != null) {
                open.tryFail(failure);
            }
        }

        private void release() {
            promise = null;
            body = Buffer.buffer();
        }
    }
}
