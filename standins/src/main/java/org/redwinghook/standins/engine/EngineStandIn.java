package org.redwinghook.standins.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.jspecify.annotations.Nullable;
import org.redwinghook.standins.StandIn;
import org.redwinghook.standins.http.FaultSwitches;
import org.redwinghook.standins.http.LaggedValue;
import org.redwinghook.standins.http.StandInServer;

/**
 * A model engine with continuous batching, finite memory, a prefix cache, resumable streams and commands. Methods may be
 * called from any thread.
 */
public final class EngineStandIn implements StandIn {

    private static final int DEFAULT_MAXIMUM_TOKENS = 16;
    private static final int HTTP_OK = 200;
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_UNAVAILABLE = 503;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long STALL_CHECK_INTERVAL_MILLIS = 5;
    private static final int DEFAULT_COLD_STEPS = 100;
    private static final String MALFORMED_EVENT = "data: {\"choices\": [{\"index\": 0, \"te\n\n";

    private final Vertx vertx;
    private final EngineSettings settings;
    private final StandInServer server;
    private final FaultSwitches<EngineFaults> faults = new FaultSwitches<>(EngineFaults.class, EngineFaults.NONE);
    private final Map<String, Generation> generations = new HashMap<>();
    private final List<ReceivedRequest> requests = new ArrayList<>();
    private final LaggedValue<EngineLoad> reportedLoad;
    private final EngineCommands commands;
    private CacheEvents cacheEvents;
    private Batch batch;
    private long startedAtMillis = System.currentTimeMillis();
    private int remainingColdSteps;
    private long requestCount;
    private boolean isStepScheduled;
    /** Counts the resets, so that steps scheduled before a reset are discarded. */
    private int resetCount;

    /**
     * Creates an engine that starts warm and generates tokens at a fixed rate.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     * @param tokenMillis time to generate a token in milliseconds
     */
    public EngineStandIn(Vertx vertx, int port, int tokenMillis) {
        this(
                vertx,
                port,
                EngineSettings.DEFAULT.withTiming(
                        new EngineTiming(tokenMillis * MICROS_PER_MILLI, 0, 0, EngineTiming.DEFAULT.maximumBatch())));
    }

    /**
     * Creates an engine.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     * @param settings settings of the engine
     */
    public EngineStandIn(Vertx vertx, int port, EngineSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        this.server = new StandInServer(vertx, port);
        this.cacheEvents = new CacheEvents(settings.reporting());
        this.commands = new EngineCommands(vertx, settings.commandMillis(), settings.checksFencing());
        this.batch = createBatch();
        this.remainingColdSteps = settings.coldStart().steps();
        this.reportedLoad = new LaggedValue<>(currentLoad());
        registerRoutes();
    }

    @Override
    public Future<Integer> start() {
        return server.start();
    }

    @Override
    public synchronized Future<Void> stop() {
        reset();
        return server.stop();
    }

    /**
     * Returns the fault switches of this engine.
     *
     * @return the switches
     */
    public FaultSwitches<EngineFaults> faults() {
        return faults;
    }

    /**
     * Returns the load without delay.
     *
     * @return the load
     */
    public synchronized EngineLoad currentLoad() {
        return new EngineLoad(
                batch.runningCount(),
                batch.waitingCount(),
                batch.memoryUsedTokens(),
                settings.memory().capacityTokens(),
                batch.preemptions(),
                startedAtMillis);
    }

    /**
     * Returns the state that results from the applied commands.
     *
     * @return the state
     */
    public EngineState state() {
        return commands.state();
    }

    /**
     * Returns all requests that the engine received, including those before crashes.
     *
     * @return the requests in order of receipt
     */
    public synchronized List<ReceivedRequest> requests() {
        return List.copyOf(requests);
    }

    /** Closes the connections of all streams; the generations continue for the grace period. */
    public synchronized void closeStreams() {
        List.copyOf(generations.values()).forEach(Generation::abortStream);
    }

    /** Turns the engine cold without a restart. */
    public synchronized void turnCold() {
        remainingColdSteps =
                settings.coldStart().steps() > 0 ? settings.coldStart().steps() : DEFAULT_COLD_STEPS;
    }

    /**
     * Crashes the engine: it loses its generations and state, refuses connections for the given time and is cold
     * afterwards.
     *
     * @param millis time for which the port is closed, in milliseconds
     * @return a future that completes when connections are refused
     */
    public synchronized Future<Void> crash(long millis) {
        reset();
        remainingColdSteps = settings.coldStart().steps();
        // Two starts within one millisecond need different start times.
        startedAtMillis = Math.max(System.currentTimeMillis(), startedAtMillis + 1);
        recordLoad();
        return server.refuseConnections(millis);
    }

    /**
     * Closes all connections and refuses new ones for the given time; generations continue for the grace period.
     *
     * @param millis time for which the port is closed, in milliseconds
     * @return a future that completes when connections are refused
     */
    public Future<Void> refuseConnections(long millis) {
        return server.refuseConnections(millis);
    }

    private void registerRoutes() {
        faults.registerRoutes(server.routes());
        server.routes().post("/faults/close-streams").handler(context -> handleFault(context, this::closeStreams));
        server.routes().post("/faults/turn-cold").handler(context -> handleFault(context, this::turnCold));
        server.routes().post("/faults/crash").handler(context -> handleOutageFault(context, this::crash));
        server.routes()
                .post("/faults/refuse-connections")
                .handler(context -> handleOutageFault(context, this::refuseConnections));
        server.routes().post("/v1/completions").handler(this::handleCompletion);
        server.routes().get("/v1/generations/:id/stream").handler(this::handleResume);
        server.routes().delete("/v1/generations/:id").handler(this::handleCancellation);
        server.routes().get("/load").handler(this::handleLoad);
        server.routes().get("/cache-events").handler(this::handleCacheEvents);
        server.routes().post("/commands").handler(commands::handle);
        server.routes()
                .get("/state")
                .handler(context -> StandInServer.respond(context, HTTP_OK, JsonObject.mapFrom(state())));
    }

    /** Activates a fault and ends the response. */
    private static void handleFault(RoutingContext context, Runnable action) {
        action.run();
        context.response().end();
    }

    /** Ends the response and then activates a fault that closes the port for the requested time. */
    private void handleOutageFault(RoutingContext context, LongConsumer action) {
        long millis = StandInServer.parseLongParameter(context, "millis", settings.restartMillis());
        context.response().end().onComplete(ignored -> action.accept(millis));
    }

    private synchronized void handleCompletion(RoutingContext context) {
        JsonObject request = context.body().asJsonObject();
        requestCount++;
        String identifier = request.getString("request_id", "generation-" + requestCount);
        String prompt = request.getString("prompt", "");
        Generation generation = new Generation(
                identifier,
                prompt,
                new OutputPlan(settings.seed(), settings.medianTokens(), prompt),
                Math.max(1, request.getInteger("max_tokens", DEFAULT_MAXIMUM_TOKENS)),
                request.getInteger("priority", 0),
                requestCount);
        if (generations.containsKey(identifier)) {
            StandInServer.respondWithError(context, HTTP_CONFLICT, "generation " + identifier + " exists");
            return;
        }
        if (generation.promptTokens() >= settings.memory().capacityTokens()) {
            StandInServer.respondWithError(context, HTTP_BAD_REQUEST, "the prompt does not fit in memory");
            return;
        }
        boolean isCold = remainingColdSteps > 0;
        int concurrentRequests = batch.runningCount() + batch.waitingCount() + 1;
        boolean isAccepted = checkColdCapacity(context);
        requests.add(new ReceivedRequest(
                System.currentTimeMillis(), identifier, prompt, isCold, concurrentRequests, isAccepted));
        if (!isAccepted) {
            return;
        }
        generations.put(identifier, generation);
        batch.add(generation);
        openStream(context, generation, 0);
        recordLoad();
        scheduleStep();
    }

    /**
     * Returns whether the engine may accept another request. A cold engine at its capacity refuses the request, crashes
     * or accepts it, depending on the settings.
     */
    private boolean checkColdCapacity(RoutingContext context) {
        ColdStart coldStart = settings.coldStart();
        if (remainingColdSteps == 0 || batch.runningCount() + batch.waitingCount() < coldStart.coldCapacity()) {
            return true;
        }
        switch (coldStart.overload()) {
            case REFUSE -> StandInServer.respondWithError(context, HTTP_UNAVAILABLE, "the engine is cold");
            case CRASH -> crash(settings.restartMillis());
            default -> {
                return true;
            }
        }
        return false;
    }

    private synchronized void handleResume(RoutingContext context) {
        Generation generation = findOrRefuse(context);
        if (generation == null) {
            return;
        }
        openStream(context, generation, (int) Math.max(0, StandInServer.parseLongParameter(context, "after", 0)));
        sendPendingEvents(generation);
    }

    private void openStream(RoutingContext context, Generation generation, int lastReceivedEvent) {
        HttpServerResponse response = context.response();
        response.setChunked(true).putHeader("content-type", "text/event-stream");
        response.writeHead();
        generation.attachStream(response, lastReceivedEvent);
        response.closeHandler(ignored -> handleStreamClosed(generation, response));
    }

    private synchronized void handleStreamClosed(Generation generation, HttpServerResponse response) {
        if (generation.detachStream(response)) {
            removeAfterGrace(generation);
        }
    }

    /** Removes a generation after the grace period unless a new stream was opened in the meantime. */
    private void removeAfterGrace(Generation generation) {
        int initialDetachmentCount = generation.detachmentCount();
        vertx.setTimer(settings.graceMillis(), timer -> {
            synchronized (this) {
                boolean isAbandoned = !generation.hasStream() && generation.detachmentCount() == initialDetachmentCount;
                if (isAbandoned && generations.remove(generation.identifier(), generation)) {
                    batch.remove(generation);
                    recordLoad();
                }
            }
        });
    }

    private synchronized void handleCancellation(RoutingContext context) {
        Generation generation = findOrRefuse(context);
        if (generation == null) {
            return;
        }
        generations.remove(generation.identifier());
        batch.remove(generation);
        generation.abortStream();
        recordLoad();
        StandInServer.respond(context, HTTP_OK, new JsonObject().put("tokens", generation.outputTokens()));
    }

    /** Finds the generation that the path names; if there is none, responds with status 404 and returns null. */
    private @Nullable Generation findOrRefuse(RoutingContext context) {
        Generation generation = generations.get(context.pathParam("id"));
        if (generation == null) {
            StandInServer.respondWithError(context, HTTP_NOT_FOUND, "no generation " + context.pathParam("id"));
        }
        return generation;
    }

    private void scheduleStep() {
        if (isStepScheduled || batch.runningCount() + batch.waitingCount() == 0) {
            return;
        }
        isStepScheduled = true;
        int prefillTokens = batch.admit();
        long slowdown = remainingColdSteps > 0 ? settings.coldStart().slowdown() : 1;
        long micros = slowdown * settings.timing().stepTimeMicros(batch.runningCount(), prefillTokens);
        int initialResetCount = resetCount;
        vertx.setTimer(Math.max(1, micros / MICROS_PER_MILLI), timer -> step(initialResetCount));
    }

    private synchronized void step(int initialResetCount) {
        if (resetCount != initialResetCount) {
            return;
        }
        if (faults.current().stalled()) {
            vertx.setTimer(STALL_CHECK_INTERVAL_MILLIS, timer -> step(initialResetCount));
            return;
        }
        isStepScheduled = false;
        remainingColdSteps = Math.max(0, remainingColdSteps - 1);
        for (Generation generation : batch.decode()) {
            sendPendingEvents(generation);
            if (generation.isFinished()) {
                removeAfterGrace(generation);
            }
            if (countDownToCrash()) {
                crash(settings.restartMillis());
                return;
            }
        }
        recordLoad();
        scheduleStep();
    }

    /** Counts a generated token and returns whether the engine crashes after it. */
    private boolean countDownToCrash() {
        int remaining = faults.current().dieAfterTokens();
        if (remaining == 0) {
            return false;
        }
        faults.update(latest -> latest.withDieAfterTokens(remaining - 1));
        return remaining == 1;
    }

    private void sendPendingEvents(Generation generation) {
        for (int number = generation.takeNextEventNumber(); number > 0; number = generation.takeNextEventNumber()) {
            generation.write(countDownMalformedEvents() ? MALFORMED_EVENT : generation.tokenEvent(number));
        }
        generation.endStreamIfComplete();
    }

    /** Counts an event and returns whether it is sent malformed. */
    private boolean countDownMalformedEvents() {
        int remaining = faults.current().malformedNext();
        if (remaining == 0) {
            return false;
        }
        faults.update(latest -> latest.withMalformedNext(remaining - 1));
        return true;
    }

    private void handleLoad(RoutingContext context) {
        EngineLoad visibleLoad = reportedLoad.visible(
                System.currentTimeMillis(), settings.reporting().loadLagMillis());
        StandInServer.respond(context, HTTP_OK, JsonObject.mapFrom(visibleLoad));
    }

    private synchronized void handleCacheEvents(RoutingContext context) {
        long firstSequence = StandInServer.parseLongParameter(context, "from", 1);
        StandInServer.respond(context, HTTP_OK, cacheEvents.read(firstSequence, System.currentTimeMillis()));
    }

    private void reset() {
        resetCount++;
        isStepScheduled = false;
        generations.clear();
        cacheEvents = new CacheEvents(settings.reporting());
        batch = createBatch();
        commands.reset();
    }

    private Batch createBatch() {
        PrefixCache cache = new PrefixCache(settings.memory().prefixCacheTokens(), this::recordCacheEvent);
        return new Batch(settings.timing().maximumBatch(), settings.memory().capacityTokens(), cache);
    }

    private void recordCacheEvent(String kind, long prefixHash) {
        cacheEvents.add(kind, prefixHash, System.currentTimeMillis());
    }

    private void recordLoad() {
        long nowMillis = System.currentTimeMillis();
        reportedLoad.set(currentLoad(), nowMillis);
        // Removes the outdated loads, which would otherwise accumulate until the next read.
        reportedLoad.visible(nowMillis, settings.reporting().loadLagMillis());
    }
}
