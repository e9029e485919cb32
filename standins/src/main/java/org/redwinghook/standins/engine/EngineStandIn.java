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
import org.redwinghook.standins.http.Lagged;
import org.redwinghook.standins.http.StandInServer;

/**
 * A model engine with continuous batching, finite memory, a prefix cache, resumable streams and commands. Methods may be
 * called from any thread.
 */
public final class EngineStandIn implements StandIn {

    private static final int USUAL_TOKENS = 16;
    private static final int HTTP_OK = 200;
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_UNAVAILABLE = 503;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final long STALL_CHECK_MILLIS = 5;
    private static final int USUAL_COLD_STEPS = 100;
    private static final String BROKEN_EVENT = "data: {\"choices\": [{\"index\": 0, \"te\n\n";

    private final Vertx vertx;
    private final EngineSettings settings;
    private final StandInServer server;
    private final FaultSwitches<EngineFaults> faults = new FaultSwitches<>(EngineFaults.class, EngineFaults.NONE);
    private final Map<String, Generation> generations = new HashMap<>();
    private final List<EngineRun> runs = new ArrayList<>();
    private final Lagged<EngineLoad> load;
    private final EngineCommands commands;
    private CacheEvents cacheEvents;
    private Batch batch;
    private long startedAt = System.currentTimeMillis();
    private int coldSteps;
    private long arrivals;
    private boolean stepping;
    private int starts;

    /**
     * Creates a warm engine with a fixed time for each token.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     * @param tokenMillis time for each token in milliseconds
     */
    public EngineStandIn(Vertx vertx, int port, int tokenMillis) {
        this(
                vertx,
                port,
                EngineSettings.USUAL.withPace(
                        new EnginePace(tokenMillis * MICROS_PER_MILLI, 0, 0, EnginePace.USUAL.maximumBatch())));
    }

    /**
     * Creates an engine.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     * @param settings its settings
     */
    public EngineStandIn(Vertx vertx, int port, EngineSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        this.server = new StandInServer(vertx, port);
        this.cacheEvents = new CacheEvents(settings.reporting());
        this.commands = new EngineCommands(vertx, settings.commandMillis(), settings.checksFencing());
        this.batch = freshBatch();
        this.coldSteps = settings.coldStart().steps();
        this.load = new Lagged<>(presentLoad());
        mountRoutes();
    }

    @Override
    public Future<Integer> start() {
        return server.start();
    }

    @Override
    public synchronized Future<Void> stop() {
        forgetEverything();
        return server.stop();
    }

    /**
     * Faults of this engine.
     *
     * @return the switches
     */
    public FaultSwitches<EngineFaults> faults() {
        return faults;
    }

    /**
     * Load without lag.
     *
     * @return the load
     */
    public synchronized EngineLoad presentLoad() {
        return new EngineLoad(
                batch.running(),
                batch.waiting(),
                batch.memoryUsed(),
                settings.memory().capacityTokens(),
                batch.preemptions(),
                startedAt);
    }

    /**
     * What commands have made of the engine.
     *
     * @return the state
     */
    public EngineState state() {
        return commands.state();
    }

    /**
     * All requests that reached the engine, across its deaths.
     *
     * @return the requests in order
     */
    public synchronized List<EngineRun> runs() {
        return List.copyOf(runs);
    }

    /** Closes the connections of all streams; the generations go on for the grace time. */
    public synchronized void closeStreams() {
        List.copyOf(generations.values()).forEach(Generation::cut);
    }

    /** Turns the engine cold without a restart. */
    public synchronized void turnCold() {
        coldSteps = settings.coldStart().steps() > 0 ? settings.coldStart().steps() : USUAL_COLD_STEPS;
    }

    /**
     * Kills the engine: it loses everything, refuses connections for a time and is cold afterwards.
     *
     * @param millis time without the port in milliseconds
     * @return completes when connections are refused
     */
    public synchronized Future<Void> crash(long millis) {
        forgetEverything();
        coldSteps = settings.coldStart().steps();
        // Two starts within one millisecond must be told apart.
        startedAt = Math.max(System.currentTimeMillis(), startedAt + 1);
        recordLoad();
        return server.refuseConnections(millis);
    }

    /**
     * Closes all connections and refuses new ones for a time; generations go on for the grace time.
     *
     * @param millis the time in milliseconds
     * @return completes when connections are refused
     */
    public Future<Void> refuseConnections(long millis) {
        return server.refuseConnections(millis);
    }

    private void mountRoutes() {
        faults.mount(server.routes());
        server.routes().post("/faults/close-streams").handler(context -> act(context, this::closeStreams));
        server.routes().post("/faults/turn-cold").handler(context -> act(context, this::turnCold));
        server.routes().post("/faults/crash").handler(context -> away(context, this::crash));
        server.routes().post("/faults/refuse-connections").handler(context -> away(context, this::refuseConnections));
        server.routes().post("/v1/completions").handler(this::complete);
        server.routes().get("/v1/generations/:id/stream").handler(this::resume);
        server.routes().delete("/v1/generations/:id").handler(this::cancel);
        server.routes().get("/load").handler(this::readLoad);
        server.routes().get("/cache-events").handler(this::readCacheEvents);
        server.routes().post("/commands").handler(commands::handle);
        server.routes()
                .get("/state")
                .handler(context -> StandInServer.answer(context, HTTP_OK, JsonObject.mapFrom(state())));
    }

    private static void act(RoutingContext context, Runnable action) {
        action.run();
        context.response().end();
    }

    private void away(RoutingContext context, LongConsumer action) {
        long millis = StandInServer.number(context, "millis", settings.restartMillis());
        context.response().end().onComplete(ignored -> action.accept(millis));
    }

    private synchronized void complete(RoutingContext context) {
        JsonObject request = context.body().asJsonObject();
        arrivals++;
        String identifier = request.getString("request_id", "generation-" + arrivals);
        String prompt = request.getString("prompt", "");
        Generation generation = new Generation(
                identifier,
                prompt,
                new OutputPlan(settings.seed(), settings.medianTokens(), prompt),
                Math.max(1, request.getInteger("max_tokens", USUAL_TOKENS)),
                request.getInteger("priority", 0),
                arrivals);
        if (generations.containsKey(identifier)) {
            StandInServer.refuse(context, HTTP_CONFLICT, "generation " + identifier + " exists");
            return;
        }
        if (generation.promptTokens() >= settings.memory().capacityTokens()) {
            StandInServer.refuse(context, HTTP_BAD_REQUEST, "the prompt does not fit in memory");
            return;
        }
        boolean isCold = coldSteps > 0;
        int requests = batch.running() + batch.waiting() + 1;
        boolean isWithinCapacity = hasCapacity(context);
        runs.add(new EngineRun(System.currentTimeMillis(), identifier, prompt, isCold, requests, isWithinCapacity));
        if (!isWithinCapacity) {
            return;
        }
        generations.put(identifier, generation);
        batch.add(generation);
        stream(context, generation, 0);
        recordLoad();
        scheduleStep();
    }

    /** Whether the engine is warm or not overloaded; otherwise does what a cold engine does with too much load. */
    private boolean hasCapacity(RoutingContext context) {
        ColdStart coldStart = settings.coldStart();
        if (coldSteps == 0 || batch.running() + batch.waiting() < coldStart.coldCapacity()) {
            return true;
        }
        switch (coldStart.overload()) {
            case REFUSE -> StandInServer.refuse(context, HTTP_UNAVAILABLE, "the engine is cold");
            case CRASH -> crash(settings.restartMillis());
            default -> {
                return true;
            }
        }
        return false;
    }

    private synchronized void resume(RoutingContext context) {
        Generation generation = find(context);
        if (generation == null) {
            return;
        }
        stream(context, generation, (int) Math.max(0, StandInServer.number(context, "after", 0)));
        deliver(generation);
    }

    private void stream(RoutingContext context, Generation generation, int after) {
        HttpServerResponse response = context.response();
        response.setChunked(true).putHeader("content-type", "text/event-stream");
        response.writeHead();
        generation.attach(response, after);
        response.closeHandler(ignored -> streamClosed(generation, response));
    }

    private synchronized void streamClosed(Generation generation, HttpServerResponse response) {
        if (generation.detach(response)) {
            forgetLater(generation);
        }
    }

    /** Ends a generation after the grace time unless a new stream was opened meanwhile. */
    private void forgetLater(Generation generation) {
        int detachments = generation.detachments();
        vertx.setTimer(settings.graceMillis(), timer -> {
            synchronized (this) {
                boolean abandoned = !generation.attached() && generation.detachments() == detachments;
                if (abandoned && generations.remove(generation.identifier(), generation)) {
                    batch.remove(generation);
                    recordLoad();
                }
            }
        });
    }

    private synchronized void cancel(RoutingContext context) {
        Generation generation = find(context);
        if (generation == null) {
            return;
        }
        generations.remove(generation.identifier());
        batch.remove(generation);
        generation.cut();
        recordLoad();
        StandInServer.answer(context, HTTP_OK, new JsonObject().put("tokens", generation.outputTokens()));
    }

    private @Nullable Generation find(RoutingContext context) {
        Generation generation = generations.get(context.pathParam("id"));
        if (generation == null) {
            StandInServer.refuse(context, HTTP_NOT_FOUND, "no generation " + context.pathParam("id"));
        }
        return generation;
    }

    private void scheduleStep() {
        if (stepping || batch.running() + batch.waiting() == 0) {
            return;
        }
        stepping = true;
        int prefill = batch.admit();
        long factor = coldSteps > 0 ? settings.coldStart().slowdown() : 1;
        long micros = factor * settings.pace().stepTimeMicros(batch.running(), prefill);
        int current = starts;
        vertx.setTimer(Math.max(1, micros / MICROS_PER_MILLI), timer -> step(current));
    }

    private synchronized void step(int startsBefore) {
        if (starts != startsBefore) {
            return;
        }
        if (faults.current().stalled()) {
            vertx.setTimer(STALL_CHECK_MILLIS, timer -> step(startsBefore));
            return;
        }
        stepping = false;
        coldSteps = Math.max(0, coldSteps - 1);
        for (Generation generation : batch.decode()) {
            deliver(generation);
            if (generation.finished()) {
                forgetLater(generation);
            }
            if (diesNow()) {
                crash(settings.restartMillis());
                return;
            }
        }
        recordLoad();
        scheduleStep();
    }

    private boolean diesNow() {
        int remaining = faults.current().dieAfterTokens();
        if (remaining == 0) {
            return false;
        }
        faults.update(now -> now.withDieAfterTokens(remaining - 1));
        return remaining == 1;
    }

    private void deliver(Generation generation) {
        for (int number = generation.nextEvent(); number > 0; number = generation.nextEvent()) {
            generation.write(malformedNow() ? BROKEN_EVENT : generation.event(number));
        }
        generation.endIfWhole();
    }

    private boolean malformedNow() {
        int remaining = faults.current().malformedNext();
        if (remaining == 0) {
            return false;
        }
        faults.update(now -> now.withMalformedNext(remaining - 1));
        return true;
    }

    private void readLoad(RoutingContext context) {
        EngineLoad visible =
                load.visible(System.currentTimeMillis(), settings.reporting().loadLagMillis());
        StandInServer.answer(context, HTTP_OK, JsonObject.mapFrom(visible));
    }

    private synchronized void readCacheEvents(RoutingContext context) {
        long from = StandInServer.number(context, "from", 1);
        StandInServer.answer(context, HTTP_OK, cacheEvents.read(from, System.currentTimeMillis()));
    }

    private void forgetEverything() {
        starts++;
        stepping = false;
        generations.clear();
        cacheEvents = new CacheEvents(settings.reporting());
        batch = freshBatch();
        commands.reset();
    }

    private Batch freshBatch() {
        PrefixCache cache = new PrefixCache(settings.memory().prefixCacheTokens(), this::cacheChanged);
        return new Batch(settings.pace().maximumBatch(), settings.memory().capacityTokens(), cache);
    }

    private void cacheChanged(String kind, long prefix) {
        cacheEvents.add(kind, prefix, System.currentTimeMillis());
    }

    private void recordLoad() {
        long now = System.currentTimeMillis();
        load.change(presentLoad(), now);
        // Drops the loads that are no longer needed; without this they would pile up while nobody reads them.
        load.visible(now, settings.reporting().loadLagMillis());
    }
}
