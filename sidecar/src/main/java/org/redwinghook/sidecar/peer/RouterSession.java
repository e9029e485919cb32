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
import org.redwinghook.sidecar.once.KeyedCallService;

/** Messages of one router, or of another sidecar that asks about a key, on one connection. */
public final class RouterSession {

    private static final long RETRY_AFTER_MILLIS = 500;

    private final PeerConnection connection;
    private final Supplier<Hello> hello;
    private final String service;
    private final EndpointGate gate;
    private final GenerationService generations;
    private final CallService calls;
    private final KeyedCallService keyedCalls;
    private final LongSupplier requestIdentifiers;
    private final ConfigurationExchange configuration;
    private final Map<Long, Long> waitingIdentifiers = new HashMap<>();
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
        this.keyedCalls = endpoint.keyedCalls();
        this.requestIdentifiers = endpoint.requestIdentifiers();
        this.configuration = endpoint.configuration();
        connection.onMessage(this::handleMessage);
        LivenessMonitor monitor = new LivenessMonitor(vertx, connection, this::createHeartbeat);
        // Routers hear at once that the endpoint leaves or returns; the next heartbeat would be up to 5 s late.
        Runnable removeAcceptingListener = gate.onAcceptingChanged(this::announceLoad);
        connection.onClose(() -> {
            monitor.stop();
            removeAcceptingListener.run();
            handleClose();
        });
    }

    private void handleMessage(Message message) {
        if (message instanceof Submit submit) {
            handleSubmit(submit);
        } else if (message instanceof Resume resume) {
            generations.resume(connection, resume);
        } else if (message instanceof Credit credit) {
            generations.raiseCredit(connection, credit.exchange(), credit.sendThrough());
        } else if (message instanceof Cancel cancel) {
            cancelExchange(cancel.exchange());
        } else if (message instanceof Hello remoteHello) {
            connection.send(hello.get());
            connection.send(createHeartbeat());
            registerPeer(remoteHello);
        } else if (message instanceof KeyQuestion question) {
            connection.send(keyedCalls.answerQuestion(question));
        }
        if (peer != null) {
            configuration.received(peer, message);
        }
    }

    private void registerPeer(Hello remoteHello) {
        if (peer == null) {
            peer = new ConnectionPeer(remoteHello.process(), connection);
            configuration.opened(peer);
        }
    }

    private void announceLoad() {
        if (peer != null) {
            connection.send(createHeartbeat());
        }
    }

    private Heartbeat createHeartbeat() {
        return new Heartbeat(hello.get().configurationOffset(), gate.load());
    }

    private void handleSubmit(Submit submit) {
        if (!submit.service().equals(service)) {
            refuse(submit, RefusalReason.WRONG_SERVICE, "this endpoint serves " + service);
            return;
        }
        if (!gate.isAccepting()) {
            refuse(submit, RefusalReason.LEAVING, "the endpoint is leaving");
            return;
        }
        WorkItem item = toWorkItem(submit);
        if (submit.call() != null && CallService.isKeyed(submit.call())) {
            calls.startKeyed(connection, submit, item);
            return;
        }
        waitingIdentifiers.put(submit.exchange(), item.identifier());
        gate.offer(item, admitted -> start(submit, admitted), detail -> {
            waitingIdentifiers.remove(submit.exchange());
            refuse(submit, gate.isAccepting() ? RefusalReason.OVERLOADED : RefusalReason.LEAVING, detail);
        });
    }

    private void start(Submit submit, WorkItem item) {
        waitingIdentifiers.remove(submit.exchange());
        if (submit.generation() != null) {
            generations.start(connection, submit, item);
            return;
        }
        calls.start(connection, submit, item);
    }

    private void cancelExchange(long exchange) {
        Long identifier = waitingIdentifiers.remove(exchange);
        if (identifier != null) {
            gate.cancelWaiting(identifier);
            return;
        }
        generations.unsubscribe(connection, exchange);
    }

    private void handleClose() {
        if (peer != null) {
            configuration.closed(peer);
        }
        Set.copyOf(waitingIdentifiers.keySet()).forEach(this::cancelExchange);
        generations.unsubscribeAll(connection);
    }

    private WorkItem toWorkItem(Submit submit) {
        long now = EndpointGate.nowMillis();
        var generation = submit.generation();
        return new WorkItem(
                requestIdentifiers.getAsLong(),
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
