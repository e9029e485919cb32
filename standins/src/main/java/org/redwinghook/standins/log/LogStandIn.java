package org.redwinghook.standins.log;

import java.util.HashMap;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.redwinghook.standins.StandIn;
import org.redwinghook.standins.http.FaultSwitches;
import org.redwinghook.standins.http.RateLimiter;
import org.redwinghook.standins.http.StandInServer;

/** In-memory append-only log with streams, offsets from 1, retention, a rate limit on appends, and faults. */
public final class LogStandIn implements StandIn {

    private static final int DEFAULT_READ_LIMIT = 1_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_GONE = 410;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
    private static final int HTTP_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final LogSettings settings;
    private final StandInServer server;
    private final RateLimiter appendLimiter;
    private final FaultSwitches<LogFaults> faults = new FaultSwitches<>(LogFaults.class, LogFaults.NONE);
    private final Map<String, LogStream> streams = new HashMap<>();
    private long appendCount;

    /**
     * Creates an empty log with the default limits.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     */
    public LogStandIn(Vertx vertx, int port) {
        this(vertx, port, LogSettings.DEFAULT);
    }

    /**
     * Creates an empty log.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     * @param settings limits of the log
     */
    public LogStandIn(Vertx vertx, int port, LogSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        this.appendLimiter = new RateLimiter(settings.appendsPerSecond(), System.nanoTime());
        this.server = new StandInServer(vertx, port);
        faults.registerRoutes(server.routes());
        server.routes().route("/streams/*").handler(this::applyFaults);
        server.routes().post("/streams/:stream/records").handler(this::handleAppend);
        server.routes().get("/streams/:stream/records").handler(this::handleRead);
    }

    @Override
    public Future<Integer> start() {
        return server.start();
    }

    @Override
    public Future<Void> stop() {
        return server.stop();
    }

    /**
     * Returns the fault switches of this log.
     *
     * @return the switches
     */
    public FaultSwitches<LogFaults> faults() {
        return faults;
    }

    private void applyFaults(RoutingContext context) {
        LogFaults current = faults.current();
        if (current.down()) {
            context.request().connection().close();
            return;
        }
        if (current.delayMillis() == 0) {
            context.next();
            return;
        }
        vertx.setTimer(current.delayMillis(), timer -> context.next());
    }

    private synchronized void handleAppend(RoutingContext context) {
        if (!appendLimiter.tryAcquire(System.nanoTime())) {
            context.response().putHeader("retry-after", "1");
            StandInServer.respondWithError(context, HTTP_TOO_MANY_REQUESTS, "too many appends");
            return;
        }
        String streamName = context.pathParam("stream");
        Buffer body = context.body().buffer();
        byte[] data = body == null ? new byte[0] : body.getBytes();
        LogFaults current = faults.current();
        if (current.applyLateNext() > 0) {
            faults.update(latest -> latest.withApplyLate(latest.applyLateNext() - 1, latest.applyLateMillis()));
            vertx.setTimer(Math.max(1, current.applyLateMillis()), timer -> appendRecord(streamName, data));
            StandInServer.respondWithError(context, HTTP_UNAVAILABLE, "the append timed out");
            return;
        }
        long offset = appendRecord(streamName, data);
        if (countAppendAndCheckLoss(current)) {
            context.request().connection().close();
            return;
        }
        StandInServer.respond(context, HTTP_OK, new JsonObject().put("offset", offset));
    }

    /** Counts an append and returns whether its response is lost. */
    private boolean countAppendAndCheckLoss(LogFaults current) {
        appendCount++;
        if (current.loseNextAnswers() > 0) {
            faults.update(latest -> latest.withLoseNextAnswers(latest.loseNextAnswers() - 1));
            return true;
        }
        return current.loseAnswerEvery() > 0 && appendCount % current.loseAnswerEvery() == 0;
    }

    private synchronized long appendRecord(String streamName, byte[] data) {
        LogStream stream = streams.computeIfAbsent(streamName, ignored -> new LogStream(settings));
        long nowMillis = System.currentTimeMillis();
        long offset = stream.append(data, nowMillis);
        stream.applyRetention(nowMillis);
        return offset;
    }

    private synchronized void handleRead(RoutingContext context) {
        LogStream stream = streams.getOrDefault(context.pathParam("stream"), new LogStream(settings));
        stream.applyRetention(System.currentTimeMillis());
        long fromOffset = Math.max(1, StandInServer.parseLongParameter(context, "from", 1));
        long maximumRecords = Math.max(0, StandInServer.parseLongParameter(context, "limit", DEFAULT_READ_LIMIT));
        JsonObject page = new JsonObject().put("first", stream.firstOffset()).put("next", stream.nextOffset());
        if (fromOffset < stream.firstOffset()) {
            StandInServer.respond(context, HTTP_GONE, page.put("records", new JsonArray()));
            return;
        }
        StandInServer.respond(context, HTTP_OK, page.put("records", stream.readRecords(fromOffset, maximumRecords)));
    }
}
