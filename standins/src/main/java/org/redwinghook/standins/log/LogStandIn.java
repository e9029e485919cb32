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
import org.redwinghook.standins.http.RateLimit;
import org.redwinghook.standins.http.StandInServer;

/** An append-only log in memory with streams, offsets from 1, retention, a rate limit on appends and faults. */
public final class LogStandIn implements StandIn {

    private static final int USUAL_LIMIT = 1_000;
    private static final int HTTP_OK = 200;
    private static final int HTTP_GONE = 410;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
    private static final int HTTP_UNAVAILABLE = 503;

    private final Vertx vertx;
    private final LogSettings settings;
    private final StandInServer server;
    private final RateLimit limit;
    private final FaultSwitches<LogFaults> faults = new FaultSwitches<>(LogFaults.class, LogFaults.NONE);
    private final Map<String, LogStream> streams = new HashMap<>();
    private long appends;

    /**
     * Creates a log without records and with the usual limits.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     */
    public LogStandIn(Vertx vertx, int port) {
        this(vertx, port, LogSettings.USUAL);
    }

    /**
     * Creates a log without records.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     * @param settings its limits
     */
    public LogStandIn(Vertx vertx, int port, LogSettings settings) {
        this.vertx = vertx;
        this.settings = settings;
        this.limit = new RateLimit(settings.appendsPerSecond(), System.nanoTime());
        this.server = new StandInServer(vertx, port);
        faults.mount(server.routes());
        server.routes().route("/streams/*").handler(this::fault);
        server.routes().post("/streams/:stream/records").handler(this::append);
        server.routes().get("/streams/:stream/records").handler(this::read);
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
     * Faults of this log.
     *
     * @return the switches
     */
    public FaultSwitches<LogFaults> faults() {
        return faults;
    }

    private void fault(RoutingContext context) {
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

    private synchronized void append(RoutingContext context) {
        if (!limit.take(System.nanoTime())) {
            context.response().putHeader("retry-after", "1");
            StandInServer.refuse(context, HTTP_TOO_MANY_REQUESTS, "too many appends");
            return;
        }
        String stream = context.pathParam("stream");
        Buffer body = context.body().buffer();
        byte[] data = body == null ? new byte[0] : body.getBytes();
        LogFaults current = faults.current();
        if (current.applyLateNext() > 0) {
            faults.update(now -> now.withApplyLate(now.applyLateNext() - 1, now.applyLateMillis()));
            vertx.setTimer(Math.max(1, current.applyLateMillis()), timer -> apply(stream, data));
            StandInServer.refuse(context, HTTP_UNAVAILABLE, "the append timed out");
            return;
        }
        long offset = apply(stream, data);
        if (losesAnswer(current)) {
            context.request().connection().close();
            return;
        }
        StandInServer.answer(context, HTTP_OK, new JsonObject().put("offset", offset));
    }

    private boolean losesAnswer(LogFaults current) {
        appends++;
        if (current.loseNextAnswers() > 0) {
            faults.update(now -> now.withLoseNextAnswers(now.loseNextAnswers() - 1));
            return true;
        }
        return current.loseAnswerEvery() > 0 && appends % current.loseAnswerEvery() == 0;
    }

    private synchronized long apply(String name, byte[] data) {
        LogStream stream = streams.computeIfAbsent(name, ignored -> new LogStream(settings));
        long now = System.currentTimeMillis();
        long offset = stream.append(data, now);
        stream.dropOld(now);
        return offset;
    }

    private synchronized void read(RoutingContext context) {
        LogStream stream = streams.getOrDefault(context.pathParam("stream"), new LogStream(settings));
        stream.dropOld(System.currentTimeMillis());
        long from = Math.max(1, StandInServer.number(context, "from", 1));
        long most = Math.max(0, StandInServer.number(context, "limit", USUAL_LIMIT));
        JsonObject page = new JsonObject().put("first", stream.first()).put("next", stream.next());
        if (from < stream.first()) {
            StandInServer.answer(context, HTTP_GONE, page.put("records", new JsonArray()));
            return;
        }
        StandInServer.answer(context, HTTP_OK, page.put("records", stream.records(from, most)));
    }
}
