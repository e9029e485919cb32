package org.redwinghook.sidecar.generation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Resume;
import org.redwinghook.core.message.Submit;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.engine.EngineListener;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.usage.EndpointUsage;

/** Runs generations at the engine and lets routers follow them. */
public final class GenerationService implements StateSource {

    /** Characters of all kept tokens beyond which streams with a backlog are not read; 4 MB of the sidecar's 32 MB. */
    public static final long MOST_CHARACTERS = 4_000_000;

    private static final long RETRY_AFTER_MILLIS = 500;

    private final Vertx vertx;
    private final EngineClient engine;
    private final GenerationStore store;
    private final EndpointGate gate;
    private final EndpointUsage usage;
    private final Retention retention;
    private final GenerationMetrics metrics;
    private final Supplier<EndpointLoad> load;
    private final Map<ExchangeKey, Generation> byExchange = new HashMap<>();
    private long characters;
    private @Nullable Promise<Void> delivered;

    /**
     * Creates the service.
     *
     * @param vertx runs timers
     * @param engine the engine
     * @param store keeps the generations
     * @param gate told of tokens and ends
     * @param usage counts generations that ended
     * @param retention how long and how much is kept
     * @param metrics counts generations and tokens
     */
    public GenerationService(
            Vertx vertx,
            EngineClient engine,
            GenerationStore store,
            EndpointGate gate,
            EndpointUsage usage,
            Retention retention,
            GenerationMetrics metrics) {
        this.vertx = vertx;
        this.engine = engine;
        this.store = store;
        this.gate = gate;
        this.usage = usage;
        this.retention = retention;
        this.metrics = metrics;
        this.load = gate::load;
    }

    /**
     * Starts an admitted generation. Its router is told that it is accepted when the engine has taken the connection,
     * and that it is refused if the engine does not.
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
        Generation generation =
                store.create(submit.owner(), submit.customer(), request.promptTokens(), item.identifier());
        generation.follow(follower(connection, submit.exchange(), generation, 0, submit.credit()));
        generation.stream(
                engine.generate(generation.identifier(), request, submit.priority(), new EngineObserver(generation)));
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
        metrics.resumed();
        generation.renewRetention();
        Subscription follower =
                follower(connection, resume.exchange(), generation, resume.afterSequence(), resume.credit());
        follower.accept(generation);
        generation.follow(follower);
        relievePressure();
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
        if (subscription == null || !subscription.uses(connection, exchange)) {
            return;
        }
        subscription.grant(sendThrough);
        subscription.pump(generation);
        relievePressure();
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
        if (subscription != null && subscription.uses(connection, exchange)) {
            generation.follow(null);
            expireLater(generation);
        }
    }

    /**
     * Ends all followings of a connection that was lost.
     *
     * @param connection the connection
     */
    public void leaveAll(PeerConnection connection) {
        for (ExchangeKey key : List.copyOf(byExchange.keySet())) {
            if (key.connection() == connection) {
                leave(connection, key.exchange());
            }
        }
    }

    /**
     * Waits until the end of every generation was delivered, or its resume window has passed.
     *
     * @return completes then
     */
    public Future<Void> delivered() {
        Promise<Void> promise = delivered;
        if (promise == null) {
            promise = Promise.promise();
            delivered = promise;
        }
        checkDelivered();
        return promise.future();
    }

    @Override
    public Object state() {
        Map<GenerationState, Long> stages =
                store.all().stream().collect(Collectors.groupingBy(Generation::state, Collectors.counting()));
        return new GenerationsState(
                stages,
                count(generation -> generation.subscription() == null),
                count(generation -> !generation.isEndDelivered()),
                count(Generation::isPaused),
                characters);
    }

    private long count(Predicate<Generation> condition) {
        return store.all().stream().filter(condition).count();
    }

    private Subscription follower(
            PeerConnection connection, long exchange, Generation generation, long after, int credit) {
        byExchange.put(new ExchangeKey(connection, exchange), generation);
        return new Subscription(connection, exchange, load, after, credit, () -> endDelivered(generation));
    }

    private void endDelivered(Generation generation) {
        generation.endWasDelivered();
        expireLater(generation);
        checkDelivered();
    }

    private void expireLater(Generation generation) {
        long number = generation.renewRetention();
        vertx.setTimer(retention.windowMillis().getAsLong(), ignored -> {
            if (generation.isRetention(number)) {
                expire(generation);
            }
        });
    }

    private void expire(Generation generation) {
        if (!generation.state().ended()) {
            generation.cancel();
            metrics.cancelled();
            usage.generation(generation.owner(), generation.customer(), generation.usage(), false);
            gate.finished(generation.item(), false);
        }
        remove(generation);
    }

    private void remove(Generation generation) {
        store.remove(generation);
        byExchange.values().removeIf(known -> known == generation);
        characters -= generation.tokens().characters();
        relievePressure();
        checkDelivered();
    }

    private void checkDelivered() {
        if (delivered != null && store.all().stream().allMatch(Generation::isEndDelivered)) {
            delivered.tryComplete();
        }
    }

    /** Reads those streams on whose generations no longer add to a backlog, or all if memory is free again. */
    private void relievePressure() {
        boolean free = characters < retention.mostCharacters();
        for (Generation generation : List.copyOf(store.all())) {
            if (generation.isPaused() && (free || !generation.hasBacklog())) {
                generation.setPaused(false);
            }
        }
    }

    /** Exchange numbers are unique on one connection only. */
    private record ExchangeKey(PeerConnection connection, long exchange) {}

    private final class EngineObserver implements EngineListener {

        private final Generation generation;

        EngineObserver(Generation generation) {
            this.generation = generation;
        }

        @Override
        public void connected() {
            metrics.started();
            Subscription follower = generation.subscription();
            if (follower != null) {
                follower.accept(generation);
            }
        }

        @Override
        public void refused() {
            metrics.refused();
            gate.endpointRestarted();
            gate.finished(generation.item(), false);
            Subscription follower = generation.subscription();
            if (follower != null) {
                follower.refuse(
                        RefusalReason.ENDPOINT_DOWN, "the engine does not accept connections", RETRY_AFTER_MILLIS);
            }
            remove(generation);
        }

        @Override
        public void token(String text) {
            metrics.token();
            gate.tokenArrived(generation.item());
            characters += text.length();
            generation.append(text);
            // Pausing a generation whose follower keeps up would free nothing: its tokens are kept until it has ended.
            if (characters >= retention.mostCharacters() && generation.hasBacklog() && !generation.isPaused()) {
                metrics.paused();
                generation.setPaused(true);
            }
        }

        @Override
        public void finished(FinishReason reason) {
            metrics.finished();
            gate.finished(generation.item(), true);
            generation.finish(reason);
            usage.generation(generation.owner(), generation.customer(), generation.usage(), true);
        }

        @Override
        public void failed(String cause) {
            metrics.interrupted();
            gate.finished(generation.item(), false);
            generation.interrupt(cause);
            usage.generation(generation.owner(), generation.customer(), generation.usage(), false);
        }
    }
}
