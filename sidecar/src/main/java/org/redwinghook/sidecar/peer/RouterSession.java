package org.redwinghook.sidecar.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.Cancel;
import org.redwinghook.core.message.Credit;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.KeyQuestion;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Resume;
import org.redwinghook.core.message.Submit;
import org.redwinghook.runtime.config.ConfigurationExchange;
import org.redwinghook.runtime.config.ConnectionPeer;
import org.redwinghook.runtime.wire.LivenessMonitor;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.sidecar.call.CallService;
import org.redwinghook.sidecar.generation.GenerationService;
import org.redwinghook.sidecar.once.OnceService;

/** Messages of one router, or of another sidecar that asks about a key, on one connection. */
public final class RouterSession {

    private static final long RETRY_AFTER_MILLIS = 500;

    private final PeerConnection connection;
    private final Supplier<Hello> hello;
    private final String service;
    private final EndpointGate gate;
    private final GenerationService generations;
    private final CallService calls;
    private final OnceService once;
    private final LongSupplier identifiers;
    private final ConfigurationExchange configuration;
    private final Map<Long, Long> waiting = new HashMap<>();
    private @Nullable ConnectionPeer peer;

    /**
     * Takes over a connection.
     *
     * @param vertx runs the heartbeat's timer
     * @param connection the connection
     * @param hello gives this sidecar's greeting
     * @param endpoint what the connections share
     */
    public RouterSession(Vertx vertx, PeerConnection connection, Supplier<Hello> hello, EndpointServices endpoint) {
        this.connection = connection;
        this.hello = hello;
        this.service = endpoint.service();
        this.gate = endpoint.gate();
        this.generations = endpoint.generations();
        this.calls = endpoint.calls();
        this.once = endpoint.once();
        this.identifiers = endpoint.identifiers();
        this.configuration = endpoint.configuration();
        connection.onMessage(this::receive);
        LivenessMonitor monitor = new LivenessMonitor(vertx, connection, this::heartbeat);
        // Routers hear at once that the endpoint leaves or returns; the next heartbeat would be up to 5 s late.
        Runnable listenerRemoval = gate.onAcceptingChanged(this::announceLoad);
        connection.onClose(() -> {
            monitor.stop();
            listenerRemoval.run();
            closed();
        });
    }

    private void receive(Message message) {
        if (message instanceof Submit submit) {
            submit(submit);
        } else if (message instanceof Resume resume) {
            generations.resume(connection, resume);
        } else if (message instanceof Credit credit) {
            generations.grant(connection, credit.exchange(), credit.sendThrough());
        } else if (message instanceof Cancel cancel) {
            cancel(cancel.exchange());
        } else if (message instanceof Hello greeting) {
            connection.send(hello.get());
            connection.send(heartbeat());
            greeted(greeting);
        } else if (message instanceof KeyQuestion question) {
            connection.send(once.answer(question));
        }
        if (peer != null) {
            configuration.received(peer, message);
        }
    }

    private void greeted(Hello greeting) {
        if (peer == null) {
            peer = new ConnectionPeer(greeting.process(), connection);
            configuration.opened(peer);
        }
    }

    private void announceLoad() {
        if (peer != null) {
            connection.send(heartbeat());
        }
    }

    private Heartbeat heartbeat() {
        return new Heartbeat(hello.get().configurationOffset(), gate.load());
    }

    private void submit(Submit submit) {
        if (!submit.service().equals(service)) {
            refuse(submit, RefusalReason.WRONG_SERVICE, "this endpoint serves " + service);
            return;
        }
        if (!gate.accepting()) {
            refuse(submit, RefusalReason.LEAVING, "the endpoint is leaving");
            return;
        }
        WorkItem item = item(submit);
        if (submit.call() != null && CallService.isKeyed(submit.call())) {
            calls.startKeyed(connection, submit, item);
            return;
        }
        waiting.put(submit.exchange(), item.identifier());
        gate.offer(item, admitted -> start(submit, admitted), detail -> {
            waiting.remove(submit.exchange());
            refuse(submit, gate.accepting() ? RefusalReason.OVERLOADED : RefusalReason.LEAVING, detail);
        });
    }

    private void start(Submit submit, WorkItem item) {
        waiting.remove(submit.exchange());
        if (submit.generation() != null) {
            generations.start(connection, submit, item);
            return;
        }
        calls.start(connection, submit, item);
    }

    private void cancel(long exchange) {
        Long identifier = waiting.remove(exchange);
        if (identifier != null) {
            gate.withdraw(identifier);
            return;
        }
        generations.leave(connection, exchange);
    }

    private void closed() {
        if (peer != null) {
            configuration.closed(peer);
        }
        Set.copyOf(waiting.keySet()).forEach(this::cancel);
        generations.leaveAll(connection);
    }

    private WorkItem item(Submit submit) {
        long now = EndpointGate.nowMillis();
        var generation = submit.generation();
        return new WorkItem(
                identifiers.getAsLong(),
                submit.owner(),
                submit.customer(),
                submit.priority(),
                generation == null ? 0 : generation.promptTokens(),
                generation == null ? 0 : generation.maximumOutputTokens(),
                now,
                now + submit.timeoutMillis());
    }

    private void refuse(Submit submit, RefusalReason reason, String detail) {
        connection.send(new Refused(submit.exchange(), reason, detail, RETRY_AFTER_MILLIS, gate.load()));
    }
}
