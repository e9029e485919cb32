package org.redwinghook.runtime.process;

import java.io.IOException;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.IoEvent;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoEvent;
import io.netty.channel.nio.NioIoOps;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connection to another process that tells a failure from an orderly end also while something is written to it. When a write
 * fails, the library closes the connection without reporting an exception; the reader of an answer that ends with its
 * connection would take that for an orderly end.
 */
final class ClientSocketChannel extends NioSocketChannel {

    /** Reads in a row that defer a write; an answer without end must not keep its request from being written. */
    private static final int MAXIMUM_READS_BEFORE_WRITE = 16;

    private static final Logger LOGGER = LoggerFactory.getLogger(ClientSocketChannel.class);

    @Override
    protected AbstractNioUnsafe newUnsafe() {
        return new ReadFirstUnsafe();
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        try {
            super.doWrite(buffer);
        } catch (IOException failure) {
            LOGGER.info("write failed remote={} cause={}", remoteAddress(), failure.toString());
            pipeline().fireExceptionCaught(failure);
            throw failure;
        }
    }

    /**
     * Reads what has arrived before it writes more: after an orderly end of an answer, a write may fail before the end has
     * been read. The base class lacks only the support for a linger time, which clients do not set.
     */
    private final class ReadFirstUnsafe extends NioByteUnsafe {

        private int readsBeforeWrite;

        @Override
        public void handle(IoRegistration registration, IoEvent event) {
            NioIoOps operations = ((NioIoEvent) event).ops();
            boolean isWriteDeferred = operations.contains(NioIoOps.READ)
                    && operations.contains(NioIoOps.WRITE)
                    && readsBeforeWrite < MAXIMUM_READS_BEFORE_WRITE;
            readsBeforeWrite = isWriteDeferred ? readsBeforeWrite + 1 : 0;
            // The selector reports a deferred write again.
            super.handle(registration, isWriteDeferred ? (NioIoEvent) () -> NioIoOps.READ : event);
        }
    }
}
