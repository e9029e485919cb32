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
    public static final long MAXIMUM_BUFFERED_CHARACTERS = 4_000_000;

    private static final long RETRY_AFTER_MILLIS = 500;

    private final Vertx vertx;
    private final EngineClient engine;
    private final GenerationStore store;
    private final EndpointGate gate;
    private final EndpointUsage usage;
    private final Retention retention;
    private final GenerationMetrics metrics;
    private final Supplier<EndpointLoad> load;
    private final Map<ExchangeKey, Generation> generationsByExchange = new HashMap<>();
    private long bufferedCharacters;
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
        generation.setSubscription(subscribe(connection, submit.exchange(), generation, 0, submit.credit()));
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
        Subscription subscription =
                subscribe(connection, resume.exchange(), generation, resume.afterSequence(), resume.credit());
        subscription.sendAccepted(generation);
        generation.setSubscription(subscription);
        resumePausedStreams();
    }

    /**
     * Raises the credit of an exchange.
     *
     * @param connection connection to the router
     * @param exchange the exchange
     * @param lastAllowedSequence last sequence number that may be sent
     */
    public void raiseCredit(PeerConnection connection, long exchange, long lastAllowedSequence) {
        Generation generation = generationsByExchange.get(new ExchangeKey(connection, exchange));
        if (generation == null) {
            return;
        }
        Subscription subscription = generation.subscription();
        if (subscription == null || !subscription.matches(connection, exchange)) {
            return;
        }
        subscription.raiseCredit(lastAllowedSequence);
        subscription.sendAvailable(generation);
        resumePausedStreams();
    }

    /**
     * Ends the following of a generation; it is kept for the resume window.
     *
     * @param connection connection to the router
     * @param exchange the exchange
     */
    public void unsubscribe(PeerConnection connection, long exchange) {
        Generation generation = generationsByExchange.remove(new ExchangeKey(connection, exchange));
        if (generation == null) {
            return;
        }
        Subscription subscription = generation.subscription();
        if (subscription != null && subscription.matches(connection, exchange)) {
            generation.setSubscription(null);
            scheduleExpiry(generation);
        }
    }

    /**
     * Ends all followings of a connection that was lost.
     *
     * @param connection the connection
     */
    public void unsubscribeAll(PeerConnection connection) {
        for (ExchangeKey key : List.copyOf(generationsByExchange.keySet())) {
            if (key.connection() == connection) {
                unsubscribe(connection, key.exchange());
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
        completeIfAllDelivered();
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
                bufferedCharacters);
    }

    private long count(Predicate<Generation> condition) {
        return store.all().stream().filter(condition).count();
    }

    private Subscription subscribe(
            PeerConnection connection, long exchange, Generation generation, long lastSentSequence, int credit) {
        generationsByExchange.put(new ExchangeKey(connection, exchange), generation);
        return new Subscription(
                connection, exchange, load, lastSentSequence, credit, () -> handleEndDelivered(generation));
    }

    private void handleEndDelivered(Generation generation) {
        generation.markEndDelivered();
        scheduleExpiry(generation);
        completeIfAllDelivered();
    }

    private void scheduleExpiry(Generation generation) {
        long retentionNumber = generation.renewRetention();
        vertx.setTimer(retention.windowMillis().getAsLong(), ignored -> {
            if (generation.isLatestRetention(retentionNumber)) {
                expire(generation);
            }
        });
    }

    private void expire(Generation generation) {
        if (!generation.state().hasEnded()) {
            generation.cancel();
            metrics.cancelled();
            usage.recordGeneration(generation.owner(), generation.customer(), generation.usage(), false);
            gate.recordEnd(generation.requestIdentifier(), false);
        }
        remove(generation);
    }

    private void remove(Generation generation) {
        store.remove(generation);
        generationsByExchange.values().removeIf(known -> known == generation);
        bufferedCharacters -= generation.tokens().characters();
        resumePausedStreams();
        completeIfAllDelivered();
    }

    private void completeIfAllDelivered() {
        if (delivered != null && store.all().stream().allMatch(Generation::isEndDelivered)) {
            delivered.tryComplete();
        }
    }

    /** Reads those streams on whose generations no longer add to a backlog, or all if memory is free again. */
    private void resumePausedStreams() {
        boolean hasFreeMemory = bufferedCharacters < retention.maximumCharacters();
        for (Generation generation : List.copyOf(store.all())) {
            if (generation.isPaused() && (hasFreeMemory || !generation.hasBacklog())) {
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
        public void onConnected() {
            metrics.started();
            Subscription follower = generation.subscription();
            if (follower != null) {
                follower.sendAccepted(generation);
            }
        }

        @Override
        public void onRefused() {
            metrics.refused();
            gate.recordRestart();
            gate.recordEnd(generation.requestIdentifier(), false);
            Subscription follower = generation.subscription();
            if (follower != null) {
                follower.sendRefused(
                        RefusalReason.ENDPOINT_DOWN, "the engine does not accept connections", RETRY_AFTER_MILLIS);
            }
            remove(generation);
        }

        @Override
        public void onToken(String text) {
            metrics.token();
            gate.recordToken(generation.requestIdentifier());
            bufferedCharacters += text.length();
            generation.append(text);
            // Pausing a generation whose follower keeps up would free nothing: its tokens are kept until it has ended.
            if (bufferedCharacters >= retention.maximumCharacters()
                    && generation.hasBacklog()
                    && !generation.isPaused()) {
                metrics.paused();
                generation.setPaused(true);
            }
        }

        @Override
        public void onFinished(FinishReason reason) {
            metrics.finished();
            gate.recordEnd(generation.requestIdentifier(), true);
            generation.finish(reason);
            usage.recordGeneration(generation.owner(), generation.customer(), generation.usage(), true);
        }

        @Override
        public void onFailed(String cause) {
            metrics.interrupted();
            gate.recordEnd(generation.requestIdentifier(), false);
            generation.interrupt(cause);
            usage.recordGeneration(generation.owner(), generation.customer(), generation.usage(), false);
        }
    }
}
