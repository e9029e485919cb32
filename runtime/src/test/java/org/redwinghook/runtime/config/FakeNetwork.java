package org.redwinghook.runtime.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

import io.vertx.core.buffer.Buffer;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Message;
import org.redwinghook.runtime.wire.FrameCodec;

/** Connections between followers in one test, with the real codec and a delay of 1 ms. */
final class FakeNetwork {

    private static final long DELAY_MILLIS = 1;

    private final VirtualTime time;
    private final FrameCodec codec = new FrameCodec();
    private final List<Runnable> heartbeats = new ArrayList<>();
    private Predicate<Message> delivered = message -> true;
    private int messages;

    FakeNetwork(VirtualTime time) {
        this.time = time;
    }

    /** Drops the messages for which the predicate is false. */
    void deliverOnly(Predicate<Message> predicate) {
        delivered = predicate;
    }

    int messages() {
        return messages;
    }

    void heartbeat() {
        List.copyOf(heartbeats).forEach(Runnable::run);
    }

    void connect(LogConfigurationFollower one, LogConfigurationFollower other) {
        End atOne = new End(other);
        End atOther = new End(one);
        atOne.reverse = atOther;
        atOther.reverse = atOne;
        one.opened(atOne);
        other.opened(atOther);
        heartbeats.add(() -> atOne.send(new Heartbeat(one.current().offset(), null)));
        heartbeats.add(() -> atOther.send(new Heartbeat(other.current().offset(), null)));
    }

    private final class End implements ConfigurationPeer {

        private final LogConfigurationFollower receiver;
        private ConfigurationPeer reverse = this;

        private End(LogConfigurationFollower receiver) {
            this.receiver = receiver;
        }

        @Override
        public String name() {
            return "peer";
        }

        @Override
        public void send(Message message) {
            messages++;
            if (!delivered.test(message)) {
                return;
            }
            Buffer frame = codec.encode(message);
            Message copy = codec.decode(frame.slice(FrameCodec.LENGTH_BYTES, frame.length()))
                    .get();
            time.after(DELAY_MILLIS, () -> receiver.received(reverse, copy));
        }
    }
}
