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
import org.redwinghook.core.message.LeavingAcknowledgement;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.ProcessRole;
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

/** Handles the messages on a connection from a router, or from another sidecar that asks about a key. */
public final class RouterSession {

    private static final long RETRY_AFTER_MILLIS = 500;

    private final PeerConnection connection;
    private final Supplier<Hello> hello;
    private final String service;
    private final EndpointGate gate;
    private final LeavingNotice leavingNotice;
    private final GenerationService generations;
    private final CallService calls;
    private final KeyedCallService keyedCalls;
    private final LongSupplier requestIdentifiers;
    private final ConfigurationExchange configuration;
    private final Map<Long, Long> waitingIdentifiersByExchange = new HashMap<>();
    private @Nullable ConnectionPeer peer;

    /**
     * Creates a session and starts handling messages.
     *
     * @param vertx Vert.x instance of the process
     * @param connection the connection
     * @param hello supplies the hello message of this sidecar
     * @param endpointServices services that all connections share
     */
    public RouterSession(
            Vertx vertx, PeerConnection connection, Supplier<Hello> hello, EndpointServices endpointServices) {
        this.connection = connection;
        this.hello = hello;
        this.service = endpointServices.service();
        this.gate = endpointServices.gate();
        this.leavingNotice = endpointServices.leavingNotice();
        this.generations = endpointServices.generations();
        this.calls = endpointServices.calls();
        this.keyedCalls = endpointServices.keyedCalls();
        this.requestIdentifiers = endpointServices.requestIdentifiers();
        this.configuration = endpointServices.configuration();
        connection.onMessage(this::handleMessage);
        LivenessMonitor monitor = new LivenessMonitor(vertx, connection, this::createHeartbeat);
        // Notifies the router immediately when the endpoint leaves or returns; the next heartbeat may be 5 s away.
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
        } else if (message instanceof LeavingAcknowledgement) {
            leavingNotice.confirm(connection);
        } else if (message instanceof Hello remoteHello) {
            connection.send(hello.get());
            connection.send(createHeartbeat());
            if (remoteHello.role() == ProcessRole.ROUTER) {
                leavingNotice.add(connection);
            }
            registerPeer(remoteHello);
        } else if (message instanceof KeyQuestion question) {
            connection.send(keyedCalls.answerQuestion(question));
        }
        if (peer != null) {
            configuration.handleMessage(peer, message);
        }
    }

    private void registerPeer(Hello remoteHello) {
        if (peer == null) {
            peer = new ConnectionPeer(remoteHello.process(), connection);
            configuration.handleConnected(peer);
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
        waitingIdentifiersByExchange.put(submit.exchange(), item.identifier());
        gate.offer(item, admitted -> start(submit, admitted), detail -> {
            waitingIdentifiersByExchange.remove(submit.exchange());
            refuse(submit, gate.isAccepting() ? RefusalReason.OVERLOADED : RefusalReason.LEAVING, detail);
        });
    }

    private void start(Submit submit, WorkItem item) {
        waitingIdentifiersByExchange.remove(submit.exchange());
        if (submit.generation() != null) {
            generations.start(connection, submit, item);
            return;
        }
        calls.start(connection, submit, item);
    }

    private void cancelExchange(long exchange) {
        Long identifier = waitingIdentifiersByExchange.remove(exchange);
        if (identifier != null) {
            gate.cancelWaiting(identifier);
            return;
        }
        generations.unsubscribe(connection, exchange);
    }

    private void handleClose() {
        leavingNotice.remove(connection);
        if (peer != null) {
            configuration.handleDisconnected(peer);
        }
        Set.copyOf(waitingIdentifiersByExchange.keySet()).forEach(this::cancelExchange);
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
