package org.redwinghook.runtime.process;

import java.io.IOException;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connection to another process that reports which side of it failed. */
final class ClientSocketChannel extends NioSocketChannel {

    private static final Logger LOGGER = LoggerFactory.getLogger(ClientSocketChannel.class);

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        try {
            super.doWrite(buffer);
        } catch (IOException failure) {
            LOGGER.info("write failed remote={} cause={}", remoteAddress(), failure.toString());
            throw failure;
        }
    }
}
