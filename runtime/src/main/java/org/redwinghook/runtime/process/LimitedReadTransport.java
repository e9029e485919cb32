package org.redwinghook.runtime.process;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelOption;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.net.ClientOptionsBase;
import io.vertx.core.transport.Transport;
import org.jspecify.annotations.Nullable;
import org.redwinghook.runtime.http.GuardedConnections;

/**
 * Opens connections that read little at once. The default reads up to sixteen times before a pause takes effect, and the
 * bytes that have been read stay in direct memory, which nothing else limits. A write that fails is reported like a read.
 */
public final class LimitedReadTransport extends NioTransport implements Transport {

    private LimitedReadTransport() {}

    /**
     * Creates the event loop of a process. With a single one, its services run on one thread and need no locks.
     *
     * @return the event loop, whose connections to other processes read little at once
     */
    public static Vertx createVertx() {
        return Vertx.builder()
                .with(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1))
                .withTransport(new LimitedReadTransport())
                .build();
    }

    @Override
    public ChannelFactory<? extends Channel> channelFactory(boolean isDomainSocket) {
        return isDomainSocket ? super.channelFactory(true) : ClientSocketChannel::new;
    }

    @Override
    public void configure(
            ClientOptionsBase options, int connectTimeoutMillis, boolean isDomainSocket, Bootstrap bootstrap) {
        super.configure(options, connectTimeoutMillis, isDomainSocket, bootstrap);
        bootstrap.option(ChannelOption.RECVBUF_ALLOCATOR, GuardedConnections.RECEIVE_ALLOCATOR);
    }

    @Override
    public String name() {
        return "nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public @Nullable Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public io.vertx.core.spi.transport.Transport implementation() {
        return this;
    }
}
