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

/** Runs generations at the engine and streams their tokens to routers. */
public final class GenerationService implements StateSource {

    /**
     * Number of characters of all retained tokens above which engine streams with a backlog are paused; 4 MB of the
     * sidecar's 32 MB.
     */
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
    private @Nullable Promise<Void> deliveredPromise;

    /**
     * Creates the service.
     *
     * @param vertx Vert.x instance of the process
     * @param engine client of the engine
     * @param store retained generations
     * @param gate records tokens and ends of generations
     * @param usage counts ended generations by customer
     * @param retention limits of the retained generations
     * @param metrics counters of generations and tokens
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
     * Starts an admitted generation. The router receives an acceptance when the connection to the engine is
     * established, and a refusal if the engine does not accept connections.
     *
     * @param connection connection to the router
     * @param submit request of the router; contains a generation
     * @param item the admitted request
     */
    public void start(PeerConnection connection, Submit submit, WorkItem item) {
        var request = submit.generation();
        if (request == null) {
            return;
        }
        Generation generation =
                store.create(submit.owner(), submit.customer(), request.promptTokens(), item.identifier());
        generation.setSubscription(subscribe(connection, submit.exchange(), generation, 0, submit.credit()));
        generation.setStream(
                engine.generate(generation.identifier(), request, submit.priority(), new EngineObserver(generation)));
    }

    /**
     * Subscribes a router to a generation that was started earlier.
     *
     * @param connection connection to the router
     * @param resume request of the router
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
        metrics.recordResume();
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
     * Ends the subscription of an exchange; the generation is retained for the resume window.
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
     * Ends all subscriptions of a lost connection.
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
     * Waits until the end of every generation was delivered or its resume window has passed.
     *
     * @return a future that completes then
     */
    public Future<Void> whenDelivered() {
        Promise<Void> promise = deliveredPromise;
        if (promise == null) {
            promise = Promise.promise();
            deliveredPromise = promise;
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
            metrics.recordCancellation();
            usage.recordGeneration(generation.owner(), generation.customer(), generation.usage(), false);
            gate.recordEnd(generation.requestIdentifier(), false);
        }
        remove(generation);
    }

    private void remove(Generation generation) {
        store.remove(generation);
        generationsByExchange.values().removeIf(kept -> kept == generation);
        bufferedCharacters -= generation.tokens().characters();
        resumePausedStreams();
        completeIfAllDelivered();
    }

    private void completeIfAllDelivered() {
        if (deliveredPromise != null && store.all().stream().allMatch(Generation::isEndDelivered)) {
            deliveredPromise.tryComplete();
        }
    }

    /** Resumes the paused streams of generations without a backlog, or all if the tokens are below the limit again. */
    private void resumePausedStreams() {
        boolean hasFreeMemory = bufferedCharacters < retention.maximumCharacters();
        for (Generation generation : List.copyOf(store.all())) {
            if (generation.isPaused() && (hasFreeMemory || !generation.hasBacklog())) {
                generation.setPaused(false);
            }
        }
    }

    /** Identifies an exchange; exchange numbers are unique only within a connection. */
    private record ExchangeKey(PeerConnection connection, long exchange) {}

    private final class EngineObserver implements EngineListener {

        private final Generation generation;

        EngineObserver(Generation generation) {
            this.generation = generation;
        }

        @Override
        public void onConnected() {
            metrics.recordStart();
            Subscription subscription = generation.subscription();
            if (subscription != null) {
                subscription.sendAccepted(generation);
            }
        }

        @Override
        public void onRefused() {
            metrics.recordRefusal();
            gate.recordRestart();
            gate.recordEnd(generation.requestIdentifier(), false);
            Subscription subscription = generation.subscription();
            if (subscription != null) {
                subscription.sendRefused(
                        RefusalReason.ENDPOINT_DOWN, "the engine does not accept connections", RETRY_AFTER_MILLIS);
            }
            remove(generation);
        }

        @Override
        public void onToken(String text) {
            metrics.recordToken();
            gate.recordToken(generation.requestIdentifier());
            bufferedCharacters += text.length();
            generation.append(text);
            // Pausing a generation without a backlog would free nothing: its tokens are retained until it has ended.
            if (bufferedCharacters >= retention.maximumCharacters()
                    && generation.hasBacklog()
                    && !generation.isPaused()) {
                metrics.recordPause();
                generation.setPaused(true);
            }
        }

        @Override
        public void onFinished(FinishReason reason) {
            metrics.recordFinish();
            gate.recordEnd(generation.requestIdentifier(), true);
            generation.finish(reason);
            usage.recordGeneration(generation.owner(), generation.customer(), generation.usage(), true);
        }

        @Override
        public void onFailed(String cause) {
            metrics.recordInterruption();
            gate.recordEnd(generation.requestIdentifier(), false);
            generation.interrupt(cause);
            usage.recordGeneration(generation.owner(), generation.customer(), generation.usage(), false);
        }
    }
}
