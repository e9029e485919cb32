package org.redwinghook.sidecar.generation;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Resume;
import org.redwinghook.core.message.Submit;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.engine.EngineListener;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.usage.EndpointUsage;

/** Runs generations at the engine and lets routers follow them. */
public final class GenerationService {

    private final Vertx vertx;
    private final EngineClient engine;
    private final GenerationStore store;
    private final EndpointGate gate;
    private final EndpointUsage usage;
    private final LongSupplier resumeWindowMillis;
    private final Supplier<EndpointLoad> load;
    private final Map<ExchangeKey, Generation> byExchange = new HashMap<>();

    /**
     * Creates the service.
     *
     * @param vertx runs timers
     * @param engine the engine
     * @param store keeps the generations
     * @param gate told of tokens and ends
     * @param usage counts generations that ended
     * @param resumeWindowMillis time for which a generation without follower is kept
     */
    public GenerationService(
            Vertx vertx,
            EngineClient engine,
            GenerationStore store,
            EndpointGate gate,
            EndpointUsage usage,
            LongSupplier resumeWindowMillis) {
        this.vertx = vertx;
        this.engine = engine;
        this.store = store;
        this.gate = gate;
        this.usage = usage;
        this.resumeWindowMillis = resumeWindowMillis;
        this.load = gate::load;
    }

    /**
     * Starts an admitted generation.
     *
     * @param connection connection to the router
     * @param submit the router's message; its generation is present
     * @param item the request as it was admitted
     */
    public void start(PeerConnection connection, Submit submit, WorkItem item) {
        var request = submit.generation();
        if (request == null) {
            return;
        }
        Generation generation = store.create(submit.owner(), submit.customer(), request.promptTokens());
        connection.send(new Accepted(submit.exchange(), generation.identifier()));
        follow(connection, submit.exchange(), generation, 0, submit.credit());
        engine.generate(
                generation.identifier(), request, submit.priority(), new EngineObserver(generation, item.identifier()));
    }

    /**
     * Lets a router follow a generation that was started before.
     *
     * @param connection connection to the router
     * @param resume the router's message
     */
    public void resume(PeerConnection connection, Resume resume) {
        Generation generation = store.find(resume.generation(), resume.customer());
        if (generation == null) {
            connection.send(new Refused(
                    resume.exchange(),
                    RefusalReason.UNKNOWN_GENERATION,
                    "generation " + resume.generation() + " is not known here",
                    0,
                    load.get()));
            return;
        }
        connection.send(new Accepted(resume.exchange(), generation.identifier()));
        follow(connection, resume.exchange(), generation, resume.afterSequence(), resume.credit());
    }

    /**
     * Raises the credit of an exchange.
     *
     * @param connection connection to the router
     * @param exchange the exchange
     * @param sendThrough last sequence number that may be sent
     */
    public void grant(PeerConnection connection, long exchange, long sendThrough) {
        Generation generation = byExchange.get(new ExchangeKey(connection, exchange));
        if (generation == null) {
            return;
        }
        Subscription subscription = generation.subscription();
        if (subscription == null || !subscription.uses(connection)) {
            return;
        }
        subscription.grant(sendThrough);
        subscription.pump(generation);
    }

    /**
     * Ends the following of a generation; it is kept for the resume window.
     *
     * @param connection connection to the router
     * @param exchange the exchange
     */
    public void leave(PeerConnection connection, long exchange) {
        Generation generation = byExchange.remove(new ExchangeKey(connection, exchange));
        if (generation == null) {
            return;
        }
        Subscription subscription = generation.subscription();
        if (subscription != null && subscription.uses(connection)) {
            generation.follow(null);
            expireLater(generation);
        }
    }

    private void follow(PeerConnection connection, long exchange, Generation generation, long after, int credit) {
        byExchange.put(new ExchangeKey(connection, exchange), generation);
        generation.follow(new Subscription(connection, exchange, load, after, credit));
    }

    private void expireLater(Generation generation) {
        vertx.setTimer(resumeWindowMillis.getAsLong(), ignored -> {
            if (generation.subscription() != null) {
                return;
            }
            store.remove(generation);
            if (!generation.state().ended()) {
                engine.cancel(generation.identifier());
            }
        });
    }

    /** Exchange numbers are unique on one connection only. */
    private record ExchangeKey(PeerConnection connection, long exchange) {}

    private final class EngineObserver implements EngineListener {

        private final Generation generation;
        private final long item;

        EngineObserver(Generation generation, long item) {
            this.generation = generation;
            this.item = item;
        }

        @Override
        public void token(String text) {
            gate.tokenArrived(item);
            generation.append(text);
        }

        @Override
        public void finished(FinishReason reason) {
            gate.finished(item, true);
            generation.finish(reason);
            usage.generation(generation.owner(), generation.customer(), generation.usage(), true);
        }

        @Override
        public void failed(String cause, boolean sent) {
            gate.finished(item, false);
            generation.interrupt(cause);
            if (sent) {
                usage.generation(generation.owner(), generation.customer(), generation.usage(), false);
            }
        }
    }
}
