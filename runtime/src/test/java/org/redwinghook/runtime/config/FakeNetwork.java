package org.redwinghook.runtime.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import io.vertx.core.buffer.Buffer;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Message;
import org.redwinghook.runtime.wire.FrameCodec;

/** Simulated connections between the followers of a test, with the real codec and a delay of 1 ms. */
final class FakeNetwork {

    private static final long DELAY_MILLIS = 1;

    private final VirtualTime time;
    private final FrameCodec codec = new FrameCodec();
    private final List<Runnable> heartbeats = new ArrayList<>();
    private Predicate<Message> deliveryFilter = message -> true;
    private int sentMessages;

    FakeNetwork(VirtualTime time) {
        this.time = time;
    }

    /** Drops the messages for which the predicate is false. */
    void deliverOnly(Predicate<Message> predicate) {
        deliveryFilter = predicate;
    }

    int sentMessages() {
        return sentMessages;
    }

    void sendHeartbeats() {
        List.copyOf(heartbeats).forEach(Runnable::run);
    }

    void connect(LogConfigurationFollower first, LogConfigurationFollower second) {
        ConnectionEnd firstEnd = new ConnectionEnd(second);
        ConnectionEnd secondEnd = new ConnectionEnd(first);
        firstEnd.opposite = secondEnd;
        secondEnd.opposite = firstEnd;
        first.handleConnected(firstEnd);
        second.handleConnected(secondEnd);
        heartbeats.add(() -> firstEnd.send(new Heartbeat(first.current().offset(), null)));
        heartbeats.add(() -> secondEnd.send(new Heartbeat(second.current().offset(), null)));
    }

    private final class ConnectionEnd implements ConfigurationPeer {

        private final LogConfigurationFollower receiver;
        private ConfigurationPeer opposite = this;

        private ConnectionEnd(LogConfigurationFollower receiver) {
            this.receiver = receiver;
        }

        @Override
        public String name() {
            return "peer";
        }

        @Override
        public void send(Message message) {
            sentMessages++;
            if (!deliveryFilter.test(message)) {
                return;
            }
            Buffer frame = codec.encode(message);
            Message copy = codec.decode(frame.slice(FrameCodec.LENGTH_BYTES, frame.length()))
                    .get();
            time.schedule(DELAY_MILLIS, () -> receiver.handleMessage(opposite, copy));
        }
    }
}
