package org.redwinghook.runtime.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.receive.HeldConnection;
import org.redwinghook.core.receive.ReceiveBudget;

/**
 * Receives the bytes of one connection before they are decoded. A request head is passed on when it is complete, and only
 * after the response of the request before was written; small chunks of a body are passed on as one. So a connection holds
 * few bytes and no objects for what has not arrived or is not read. Confined to the event loop of its connection.
 */
final class ConnectionGuard extends ChannelDuplexHandler implements HeldConnection {

    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final GuardedConnections connections;
    private final String address;
    private final ReceiveBudget.Share heldBytes;
    private final RequestHeadScan head = new RequestHeadScan();
    private final ChunkScan chunks = new ChunkScan();
    private @Nullable ChannelHandlerContext context;
    private @Nullable ByteBuf held;
    private int chargedBytes;
    private Expected expected = Expected.HEAD;
    private long remainingBodyBytes;
    private boolean awaitsResponse;
    private boolean isResponseUnread;
    private boolean isProcessing;
    private boolean isEnding;
    private boolean closesAfterResponse;
    private boolean hasServed;
    private boolean wantsRead;
    private int bytesSinceProgress;
    private long lastProgressMillis;
    private long headStartMillis;
    private long endingSinceMillis;

    /** What the next received byte belongs to. */
    private enum Expected {
        HEAD,
        BODY,
        CHUNKS
    }

    ConnectionGuard(GuardedConnections connections, String address, ReceiveBudget budget) {
        this.connections = connections;
        this.address = address;
        this.lastProgressMillis = connections.nowMillis();
        this.headStartMillis = lastProgressMillis;
        this.heldBytes = budget.open(() -> {});
        heldBytes.onEviction(this::handleEviction);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof ByteBuf received)) {
            ctx.fireChannelRead(message);
            return;
        }
        if (isEnding || closesAfterResponse) {
            received.release();
            return;
        }
        recordProgress(received.readableBytes());
        if (held != null || mustHold()) {
            hold(received);
            process(ctx);
            return;
        }
        try {
            isProcessing = true;
            passOn(ctx, received);
            if (received.isReadable() && !isEnding && !closesAfterResponse) {
                hold(received.retain());
            }
        } finally {
            isProcessing = false;
            received.release();
        }
    }

    @Override
    public void read(ChannelHandlerContext ctx) {
        if (mustStopReading()) {
            wantsRead = true;
            return;
        }
        ctx.read();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        release();
        heldBytes.close();
        connections.remove(this);
        ctx.fireChannelInactive();
    }

    /** Records that the end of a response was handed to the connection, whose caller has yet to read it. */
    void handleResponseEnded() {
        isResponseUnread = awaitsResponse;
        lastProgressMillis = connections.nowMillis();
    }

    /** Records that the response of the current request was written to the operating system. */
    void handleResponseWritten() {
        ChannelHandlerContext ctx = context;
        if (!awaitsResponse || ctx == null) {
            return;
        }
        awaitsResponse = false;
        isResponseUnread = false;
        hasServed = true;
        lastProgressMillis = connections.nowMillis();
        headStartMillis = lastProgressMillis;
        if (closesAfterResponse) {
            ctx.close();
            return;
        }
        if (!isProcessing && held != null) {
            // The HTTP library handles a request that follows only after it has completed the response.
            ctx.executor().execute(() -> {
                process(ctx);
                ctx.fireChannelReadComplete();
            });
        }
    }

    /** Ends the connection if it has made no progress for too long. */
    void check(long nowMillis, boolean isShort) {
        ChannelHandlerContext ctx = context;
        if (ctx == null) {
            return;
        }
        if (isEnding) {
            if (nowMillis - endingSinceMillis >= GuardedConnections.LINGER_MILLIS) {
                ctx.close();
            }
            return;
        }
        if (isReceivingHead()
                && nowMillis - headStartMillis > connections.limits().headTimeoutMillis()) {
            end(ReceiveRefusal.HEAD_TIMEOUT);
        } else if (isShort
                && (isReceivingHead() || expected != Expected.HEAD)
                && nowMillis - lastProgressMillis > connections.progressMillis()) {
            end(ReceiveRefusal.NO_PROGRESS);
        } else if (isResponseUnread
                && nowMillis - lastProgressMillis > connections.limits().unreadTimeoutMillis()) {
            ctx.close();
        } else if (connections.isSilentTooLong(nowMillis - lastProgressMillis)) {
            ctx.close();
        }
    }

    /** Ends the connection, with a response if the caller awaits none of another request. */
    void end(ReceiveRefusal refusal) {
        ChannelHandlerContext ctx = context;
        if (isEnding || ctx == null) {
            return;
        }
        connections.recordRefusal(refusal);
        if (awaitsResponse && expected == Expected.HEAD && !mayClose()) {
            // The response of a request that was received is still delivered.
            closesAfterResponse = true;
            release();
            return;
        }
        isEnding = true;
        endingSinceMillis = connections.nowMillis();
        release();
        if (awaitsResponse || expected != Expected.HEAD || refusal == ReceiveRefusal.TOO_MANY_CONNECTIONS) {
            ctx.close();
            return;
        }
        // A close with unread bytes would reset the connection before the caller has read the response.
        ctx.writeAndFlush(Unpooled.copiedBuffer(refusal.response(), StandardCharsets.US_ASCII))
                .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
        readAgain(ctx);
    }

    @Override
    public String address() {
        return address;
    }

    @Override
    public boolean mayClose() {
        return !awaitsResponse || expected != Expected.HEAD || isResponseUnread || connections.answersAtOnce();
    }

    @Override
    public boolean hasServed() {
        return hasServed && held == null && !isEnding;
    }

    @Override
    public long lastProgressMillis() {
        return lastProgressMillis;
    }

    private boolean isReceivingHead() {
        return !awaitsResponse && expected == Expected.HEAD && held != null;
    }

    private boolean mustHold() {
        return awaitsResponse && expected == Expected.HEAD;
    }

    private boolean mustStopReading() {
        ByteBuf bytes = held;
        return mustHold() && bytes != null && bytes.readableBytes() >= GuardedConnections.MAXIMUM_AHEAD_BYTES;
    }

    private void handleEviction() {
        end(ReceiveRefusal.MEMORY_EXHAUSTED);
    }

    private void recordProgress(int received) {
        bytesSinceProgress += received;
        if (bytesSinceProgress >= connections.progressBytes()) {
            bytesSinceProgress = 0;
            lastProgressMillis = connections.nowMillis();
        }
    }

    private void hold(ByteBuf received) {
        ByteBuf bytes = held;
        if (bytes == null) {
            bytes = Unpooled.buffer(received.readableBytes());
            held = bytes;
            head.reset();
            headStartMillis = connections.nowMillis();
            recordHeadProgress();
        }
        bytes.discardReadBytes();
        bytes.writeBytes(received);
        received.release();
        charge(bytes.capacity());
    }

    private void recordHeadProgress() {
        bytesSinceProgress = 0;
        lastProgressMillis = connections.nowMillis();
    }

    /** Skips the empty lines that some callers send after a body. */
    private static void skipEmptyLines(ByteBuf bytes) {
        while (bytes.isReadable() && isLineEnd(bytes.getByte(bytes.readerIndex()))) {
            bytes.skipBytes(1);
        }
    }

    private static boolean isLineEnd(byte character) {
        return character == '\r' || character == '\n';
    }

    private void charge(int bytes) {
        int change = bytes - chargedBytes;
        chargedBytes = bytes;
        // May end this connection.
        heldBytes.add(change);
    }

    /** Passes on what has been held, as far as that is possible now. */
    private void process(ChannelHandlerContext ctx) {
        ByteBuf bytes = held;
        if (bytes == null || isProcessing) {
            return;
        }
        isProcessing = true;
        bytes.retain();
        try {
            passOn(ctx, bytes);
        } finally {
            isProcessing = false;
            if (held == bytes && !bytes.isReadable()) {
                release();
            }
            bytes.release();
        }
        readAgain(ctx);
    }

    private void readAgain(ChannelHandlerContext ctx) {
        if (wantsRead && !mustStopReading()) {
            wantsRead = false;
            ctx.read();
        }
    }

    private void passOn(ChannelHandlerContext ctx, ByteBuf bytes) {
        while (bytes.isReadable() && !isEnding && !closesAfterResponse) {
            boolean isPassedOn =
                    switch (expected) {
                        case HEAD -> passHead(ctx, bytes);
                        case BODY -> passBody(ctx, bytes);
                        case CHUNKS -> passChunks(ctx, bytes);
                    };
            if (!isPassedOn) {
                return;
            }
        }
    }

    private boolean passHead(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (awaitsResponse) {
            return false;
        }
        if (bytes != held) {
            head.reset();
        }
        if (head.isNew()) {
            skipEmptyLines(bytes);
        }
        int size = head.scan(bytes);
        ReceiveRefusal refusal = head.refusal(connections.limits());
        if (refusal != null) {
            end(refusal);
            return false;
        }
        if (size < 0) {
            return false;
        }
        if (!connections.mayDecode(head.fields(), size)) {
            end(ReceiveRefusal.MEMORY_EXHAUSTED);
            return false;
        }
        ByteBuf complete = bytes == held ? Unpooled.copiedBuffer(bytes.readSlice(size)) : bytes.readRetainedSlice(size);
        awaitsResponse = true;
        recordHeadProgress();
        if (head.isChunked()) {
            expected = Expected.CHUNKS;
            chunks.reset();
        } else if (head.contentLength() > 0) {
            expected = Expected.BODY;
            remainingBodyBytes = head.contentLength();
        }
        head.reset();
        ctx.fireChannelRead(complete);
        return true;
    }

    private boolean passBody(ChannelHandlerContext ctx, ByteBuf bytes) {
        int size = (int) Math.min(remainingBodyBytes, bytes.readableBytes());
        remainingBodyBytes -= size;
        if (remainingBodyBytes == 0) {
            expected = Expected.HEAD;
        }
        ctx.fireChannelRead(
                bytes == held ? Unpooled.copiedBuffer(bytes.readSlice(size)) : bytes.readRetainedSlice(size));
        return true;
    }

    private boolean passChunks(ChannelHandlerContext ctx, ByteBuf bytes) {
        ByteBuf data = ctx.alloc().buffer(bytes.readableBytes());
        ReceiveRefusal refusal = chunks.read(bytes, data, connections.limits().maximumHeadBytes());
        if (refusal != null) {
            data.release();
            end(refusal);
            return false;
        }
        ByteBuf chunk = ctx.alloc().buffer(data.readableBytes() + 2 * Long.BYTES + LAST_CHUNK.length);
        if (data.isReadable()) {
            chunk.writeCharSequence(Integer.toHexString(data.readableBytes()), StandardCharsets.US_ASCII);
            chunk.writeBytes(LINE_END).writeBytes(data).writeBytes(LINE_END);
        }
        data.release();
        if (chunks.isComplete()) {
            expected = Expected.HEAD;
            chunk.writeBytes(LAST_CHUNK);
        }
        if (chunk.isReadable()) {
            ctx.fireChannelRead(chunk);
        } else {
            chunk.release();
        }
        return true;
    }

    private void release() {
        ByteBuf bytes = held;
        held = null;
        head.reset();
        charge(0);
        ReferenceCountUtil.release(bytes);
    }
}
