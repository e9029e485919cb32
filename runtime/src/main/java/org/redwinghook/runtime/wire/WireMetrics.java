package org.redwinghook.runtime.wire;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of bytes and messages on all connections of a process. */
public final class WireMetrics {

    private final Counter bytesSent;
    private final Counter bytesReceived;
    private final Counter messagesSent;
    private final Counter messagesReceived;
    private final Counter messagesUndecodable;

    /**
     * Creates the counters.
     *
     * @param registry registry for the counters
     */
    public WireMetrics(MeterRegistry registry) {
        bytesSent = registry.counter("redwinghook.wire.sent.bytes");
        bytesReceived = registry.counter("redwinghook.wire.received.bytes");
        messagesSent = registry.counter("redwinghook.wire.sent.messages");
        messagesReceived = registry.counter("redwinghook.wire.received.messages");
        messagesUndecodable = registry.counter("redwinghook.wire.undecodable.messages");
    }

    void recordSent(int bytes) {
        bytesSent.increment(bytes);
        messagesSent.increment();
    }

    void recordReceived(int bytes) {
        bytesReceived.increment(bytes);
        messagesReceived.increment();
    }

    void recordUndecodable() {
        messagesUndecodable.increment();
    }
}
