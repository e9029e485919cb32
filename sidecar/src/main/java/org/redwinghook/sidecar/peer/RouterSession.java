package org.redwinghook.sidecar.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.Cancel;
import org.redwinghook.core.message.Credit;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Resume;
import org.redwinghook.core.message.Submit;
import org.redwinghook.runtime.config.ConfigurationExchange;
import org.redwinghook.runtime.config.ConnectionPeer;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.sidecar.call.CallService;
import org.redwinghook.sidecar.generation.GenerationService;

/** Messages of one router on one connection. */
public final class RouterSession {

    private static final long RETRY_AFTER_MILLIS = 500;

    private final PeerConnection connection;
    private final Supplier<Hello> hello;
    private final String service;
    private final EndpointGate gate;
    private final GenerationService generations;
    private final CallService calls;
    private final LongSupplier identifiers;
    private final ConfigurationExchange configuration;
    private final Map<Long, Long> waiting = new HashMap<>();
    private final Set<Long> following = new HashSet<>();
    private @Nullable ConnectionPeer peer;

    /**
     * Takes over a connection.
     *
     * @param connection the connection
     * @param hello gives this sidecar's greeting
     * @param gate admits requests
     * @param generations runs generations
     * @param calls runs calls
     * @param identifiers gives numbers for requests that are never used twice in this process
     * @param configuration spreads over the connection
     */
    public RouterSession(
            PeerConnection connection,
            Supplier<Hello> hello,
            EndpointGate gate,
            GenerationService generations,
            CallService calls,
            LongSupplier identifiers,
            ConfigurationExchange configuration) {
        this.connection = connection;
        this.hello = hello;
        this.service = Objects.requireNonNull(hello.get().service(), "service of the endpoint");
        this.gate = gate;
        this.generations = generations;
        this.calls = calls;
        this.identifiers = identifiers;
        this.configuration = configuration;
        connection.onMessage(this::receive);
        connection.onClose(this::closed);
    }

    private void receive(Message message) {
        if (message instanceof Submit submit) {
            submit(submit);
        } else if (message instanceof Resume resume) {
            following.add(resume.exchange());
            generations.resume(connection, resume);
        } else if (message instanceof Credit credit) {
            generations.grant(connection, credit.exchange(), credit.sendThrough());
        } else if (message instanceof Cancel cancel) {
            cancel(cancel.exchange());
        } else if (message instanceof Hello greeting) {
            connection.send(hello.get());
            connection.send(new Heartbeat(hello.get().configurationOffset(), gate.load()));
            greeted(greeting);
        } else if (message instanceof Heartbeat) {
            connection.send(new Heartbeat(hello.get().configurationOffset(), gate.load()));
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
        waiting.put(submit.exchange(), item.identifier());
        gate.offer(item, admitted -> start(submit, admitted), detail -> {
            waiting.remove(submit.exchange());
            refuse(submit, gate.accepting() ? RefusalReason.OVERLOADED : RefusalReason.LEAVING, detail);
        });
    }

    private void start(Submit submit, WorkItem item) {
        waiting.remove(submit.exchange());
        if (submit.generation() != null) {
            following.add(submit.exchange());
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
        if (following.remove(exchange)) {
            generations.leave(connection, exchange);
        }
    }

    private void closed() {
        if (peer != null) {
            configuration.closed(peer);
        }
        Set.copyOf(waiting.keySet()).forEach(this::cancel);
        Set.copyOf(following).forEach(this::cancel);
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
