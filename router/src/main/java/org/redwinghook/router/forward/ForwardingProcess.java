package org.redwinghook.router.forward;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.runtime.process.ManagedProcess;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles a router that forwards by routes. */
public final class ForwardingProcess implements ManagedProcess {

    /** Time between two looks for entries that lapsed, in milliseconds. */
    private static final long EXPIRY_MILLIS = 200;

    /** Part of the time for stopping that is left for closing connections, in milliseconds. */
    private static final long CLOSING_MILLIS = 500;

    private static final Logger LOGGER = LoggerFactory.getLogger(ForwardingProcess.class);

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final ForwardingState state;
    private final ForwardServer server;
    private final ReadyServer readiness;
    private final List<RecordFollower> followers;
    private boolean accepting = true;

    /**
     * Creates a router.
     *
     * @param vertx runs it
     * @param settings its settings
     * @param store the platform's store
     * @param decoder decodes its records
     * @param protocol names of headers
     * @param moves moves runs between engines
     */
    public ForwardingProcess(
            Vertx vertx,
            ForwardingSettings settings,
            RecordStore store,
            RecordDecoder decoder,
            ForwardProtocol protocol,
            MemoryMoves moves) {
        this.vertx = vertx;
        this.settings = settings;
        MonotonicClock clock = MonotonicClock.system();
        state = new ForwardingState(decoder, clock);
        WorkLedger ledger = new WorkLedger();
        HttpClientAgent client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true).setKeepAlive(true).setDecompressionSupported(false));
        RunningStreams streams = new RunningStreams();
        ForwardContext context = new ForwardContext(
                vertx,
                clock,
                state,
                protocol,
                client,
                ledger,
                new ForwardSelector(state, ledger, clock, settings.dataCentre(), settings.regions()),
                new ServiceRetries(settings.retryShare(), settings.retrySlack(), () -> 4),
                moves);
        state.onLeaving(new RunRelocator(context, streams)::leaving);
        server = new ForwardServer(vertx, settings.caller(), context, streams);
        readiness = new ReadyServer(vertx, settings.ready(), settings.readyPath(), this::ready);
        followers = List.of(
                new RecordFollower(vertx, store, state, RecordTopic.OPERATORS, clock),
                new RecordFollower(vertx, store, state, RecordTopic.ENDPOINTS, clock));
    }

    @Override
    public Future<Void> start() {
        followers.forEach(RecordFollower::start);
        vertx.setPeriodic(EXPIRY_MILLIS, ignored -> state.expire());
        return Future.all(server.start(), readiness.start()).mapEmpty();
    }

    @Override
    public Future<Void> stopGracefully() {
        accepting = false;
        LOGGER.info("stop begins running={}", server.running());
        return server.drain()
                .timeout(Math.max(1, settings.stopMillis() - CLOSING_MILLIS), TimeUnit.MILLISECONDS)
                .otherwise(failure -> {
                    LOGGER.warn("stop cuts requests running={}", server.running());
                    return null;
                })
                .compose(ignored -> server.stop())
                .onComplete(ignored -> followers.forEach(RecordFollower::stop));
    }

    private boolean ready() {
        return accepting && state.complete();
    }
}
