package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import org.redwinghook.core.forward.ForwardingConfiguration;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.router.peer.MeshSetup;
import org.redwinghook.router.peer.MeshTiming;
import org.redwinghook.router.peer.RouterMesh;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.WireMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles a router that forwards by routes. */
public final class ForwardingProcess implements ManagedProcess {

    /** Time between two looks for entries that lapsed, in milliseconds. */
    private static final long EXPIRY_MILLIS = 200;

    /** Part of the time for stopping that is left for closing connections, in milliseconds. */
    private static final long CLOSING_MILLIS = 500;

    private static final int PROTOCOL_VERSION = 1;

    private static final Logger LOGGER = LoggerFactory.getLogger(ForwardingProcess.class);

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final ForwardingState state;
    private final ForwardServer server;
    private final ReadyServer readiness;
    private final RouterExchange exchange;
    private final RouterMesh mesh;
    private final RouterMembership membership;
    private final List<RecordFollower> followers;
    private final long incarnation = System.currentTimeMillis();
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
                new ServiceRetries(settings.retryShare(), settings.retrySlack(), this::routers),
                moves);
        server = new ForwardServer(vertx, settings.caller(), context, streams);
        readiness = new ReadyServer(vertx, settings.ready(), settings.readyPath(), this::ready);
        exchange = new RouterExchange(vertx, settings.process(), state, ledger, clock);
        state.onLeaving(new RunRelocator(context, streams, settings.process(), exchange::report)::leaving);
        WireMetrics wireMetrics = new WireMetrics(new SimpleMeterRegistry());
        mesh = new RouterMesh(
                vertx,
                settings.process(),
                settings.peer(),
                new MeshSetup(
                        new FrameCodec(),
                        wireMetrics,
                        this::hello,
                        exchange,
                        new MessageDispatcher(),
                        MeshTiming.FAST));
        membership = new RouterMembership(vertx, store, state, settings, mesh);
        state.onChange((topic, changed) -> {
            if (topic == RecordTopic.ROUTERS) {
                membership.update();
            }
        });
        followers = new ArrayList<>();
        for (RecordTopic topic : RecordTopic.values()) {
            followers.add(new RecordFollower(vertx, store, state, topic, clock, exchange::relay));
        }
    }

    @Override
    public Future<Void> start() {
        followers.forEach(RecordFollower::start);
        vertx.setPeriodic(EXPIRY_MILLIS, ignored -> state.expire());
        exchange.start();
        membership.register();
        return Future.all(server.start(), readiness.start(), mesh.start()).mapEmpty();
    }

    @Override
    public Future<Void> stopGracefully() {
        accepting = false;
        LOGGER.info("stop begins running={}", server.running());
        membership.leave();
        return server.drain()
                .timeout(Math.max(1, settings.stopMillis() - CLOSING_MILLIS), TimeUnit.MILLISECONDS)
                .otherwise(failure -> {
                    LOGGER.warn("stop cuts requests running={}", server.running());
                    return null;
                })
                .compose(ignored -> server.stop())
                .onComplete(ignored -> {
                    followers.forEach(RecordFollower::stop);
                    mesh.stop();
                });
    }

    private int routers() {
        return membership.size();
    }

    private Hello hello() {
        return new Hello(
                PROTOCOL_VERSION,
                settings.process(),
                incarnation,
                ProcessRole.ROUTER,
                null,
                settings.dataCentre(),
                state.configuration().map(ForwardingConfiguration::version).orElse(0L));
    }

    private boolean ready() {
        return accepting && state.complete();
    }
}
