package org.redwinghook.sidecar;

import java.security.SecureRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.admission.AdmissionSettings;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.core.length.LearnedLengths;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.once.ExecutorIdentity;
import org.redwinghook.core.usage.UsageLedger;
import org.redwinghook.runtime.admin.AdminServer;
import org.redwinghook.runtime.config.ConfigurationAdmin;
import org.redwinghook.runtime.config.ConfigurationService;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.usage.UsageReporter;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerServer;
import org.redwinghook.runtime.wire.WireMetrics;
import org.redwinghook.sidecar.call.CallService;
import org.redwinghook.sidecar.engine.CommandMetrics;
import org.redwinghook.sidecar.engine.CommanderTimings;
import org.redwinghook.sidecar.engine.EndpointRank;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.engine.EngineCommander;
import org.redwinghook.sidecar.engine.LoadMonitor;
import org.redwinghook.sidecar.generation.GenerationMetrics;
import org.redwinghook.sidecar.generation.GenerationService;
import org.redwinghook.sidecar.generation.GenerationStore;
import org.redwinghook.sidecar.generation.Retention;
import org.redwinghook.sidecar.once.ExecutorClient;
import org.redwinghook.sidecar.once.ExecutorCount;
import org.redwinghook.sidecar.once.KeyedCallContext;
import org.redwinghook.sidecar.once.KeyedCallMetrics;
import org.redwinghook.sidecar.once.KeyedCallService;
import org.redwinghook.sidecar.peer.ConfiguredShares;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.peer.EndpointServices;
import org.redwinghook.sidecar.peer.LeavingNotice;
import org.redwinghook.sidecar.peer.RouterSession;
import org.redwinghook.sidecar.usage.EndpointUsage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles a sidecar from its services. */
public final class SidecarProcess implements ManagedProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(SidecarProcess.class);
    private static final int PROTOCOL_VERSION = 1;

    /**
     * Maximum wait during a graceful stop until all routers know that the endpoint takes no new work. Routers of older
     * versions do not confirm the notice.
     */
    private static final long NOTICE_TIMEOUT_MILLIS = 5_000;

    /** Maximum wait for outcomes to reach the log during a graceful stop. */
    private static final long OUTCOME_FLUSH_TIMEOUT_MILLIS = 10_000;

    /** Random low bits of the incarnation, which keep it unique if the clock is set back between two starts. */
    private static final int INCARNATION_RANDOM_BITS = 20;

    private final Vertx vertx;
    private final SidecarSettings settings;
    private final ConfigurationService configuration;
    private final long incarnation = (System.currentTimeMillis() << INCARNATION_RANDOM_BITS)
            | new SecureRandom().nextInt(1 << INCARNATION_RANDOM_BITS);
    private final EndpointGate gate;
    private final LeavingNotice leavingNotice = new LeavingNotice();
    private final GenerationService generations;
    private final KeyedCallService keyedCalls;
    private final EndpointServices endpointServices;
    private final PeerServer peerServer;
    private final AdminServer adminServer;
    private final UsageReporter usageReporter;
    private Runnable stopCommander = () -> {};
    private boolean isStopping;
    private volatile int peerPort;

    /**
     * Creates a sidecar.
     *
     * @param vertx Vert.x instance of the process
     * @param settings settings of the sidecar
     * @param configuration source of the configuration
     */
    public SidecarProcess(Vertx vertx, SidecarSettings settings, ConfigurationService configuration) {
        this(vertx, settings, configuration, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }

    /**
     * Creates a sidecar.
     *
     * @param vertx Vert.x instance of the process
     * @param settings settings of the sidecar
     * @param configuration source of the configuration
     * @param metrics registry of the counters
     */
    public SidecarProcess(
            Vertx vertx,
            SidecarSettings settings,
            ConfigurationService configuration,
            PrometheusMeterRegistry metrics) {
        this.vertx = vertx;
        this.settings = settings;
        this.configuration = configuration;
        ServiceRegistry services = new ServiceRegistry();
        gate = new EndpointGate(vertx, createAdmissionController(settings, configuration));
        EngineClient engine = new EngineClient(vertx, settings.endpoint());
        UsageLedger ledger = new UsageLedger(settings.shared().process(), incarnation);
        EndpointUsage endpointUsage = new EndpointUsage(ledger, settings.service());
        LogClient log = new LogClient(vertx, settings.shared().log());
        usageReporter = new UsageReporter(vertx, log::append, ledger, UsageReporter.DEFAULT_INTERVAL_MILLIS);
        generations = new GenerationService(
                vertx,
                engine,
                new GenerationStore(settings.shared().process(), incarnation),
                gate,
                endpointUsage,
                new Retention(
                        () -> configuration.current().rules().resumeWindowMillis(),
                        GenerationService.MAXIMUM_BUFFERED_CHARACTERS),
                new GenerationMetrics(metrics));
        FrameCodec codec = new FrameCodec();
        WireMetrics wireMetrics = new WireMetrics(metrics);
        VmListClient vmList = new VmListClient(vertx, settings.shared().vmList());
        KeyedCallContext keyedCallContext = new KeyedCallContext(
                vertx,
                log,
                new ExecutorIdentity(settings.shared().process(), incarnation),
                settings.service(),
                () -> configuration.current().rules().idempotencyWindowMillis(),
                new ExecutorCount(vmList, configuration, settings.service()),
                new KeyedCallMetrics(metrics));
        keyedCalls = new KeyedCallService(
                keyedCallContext, new ExecutorClient(vertx, codec, wireMetrics, vmList::read, this::createHello));
        CallService callService = new CallService(vertx, settings.endpoint(), gate, keyedCalls, endpointUsage);
        AtomicLong lastIdentifier = new AtomicLong();
        endpointServices = new EndpointServices(
                settings.service(),
                gate,
                leavingNotice,
                generations,
                callService,
                keyedCalls,
                lastIdentifier::incrementAndGet,
                configuration);
        peerServer = new PeerServer(vertx, settings.shared().peer(), codec, wireMetrics, this::handleConnection);
        services.register("gate", gate);
        services.register("generations", generations);
        services.register("once", keyedCalls);
        services.register("configuration", configuration);
        if (settings.kind() == ServiceKind.ENGINE) {
            services.register(
                    "engine", new LoadMonitor(vertx, engine, LoadMonitor.POLL_INTERVAL_MILLIS, gate::recordRestart));
            EngineCommander commander = createCommander(engine, vmList, metrics);
            commander.start(vertx);
            stopCommander = commander::stop;
            services.register("commands", commander);
        }
        adminServer = new AdminServer(
                vertx,
                settings.shared().admin(),
                services,
                metrics,
                () -> gate.isAccepting() && configuration.isReady());
        new ConfigurationAdmin(configuration).register(adminServer.routes());
        configuration.onChange(this::applyConfiguration);
        applyConfiguration(configuration.current());
    }

    @Override
    public Future<Void> start() {
        usageReporter.start();
        return peerServer
                .start()
                .onSuccess(port -> peerPort = port)
                .compose(port -> adminServer.start())
                .onSuccess(ignored -> configuration.start());
    }

    @Override
    public Future<Void> stopGracefully() {
        isStopping = true;
        stopCommander.run();
        gate.setAccepting(false);
        leavingNotice.send(new Heartbeat(configuration.current().offset(), gate.load()));
        LOGGER.info("endpoint leaving routers={}", leavingNotice.unconfirmed());
        Promise<Void> idle = Promise.promise();
        gate.whenIdle(() -> idle.tryComplete());
        Future<Void> completed =
                Future.join(idle.future(), keyedCalls.whenIdle()).compose(ignored -> generations.whenDelivered());
        // Routers may send work until they have read the notice. A call that is not idempotent and finds the connection
        // closed has an unknown outcome, while a refusal lets the router try another endpoint.
        Future<Void> noticed = withTimeout("notice", leavingNotice.whenConfirmed(), NOTICE_TIMEOUT_MILLIS);
        Future<Void> drained = Future.join(
                        noticed,
                        withTimeout("drain", completed, settings.shared().drainTimeoutMillis()))
                .mapEmpty();
        // The wait is limited so that a log outage cannot block the stop. A retry of a call whose outcome is missing is
        // answered "outcome unknown", which is correct.
        return drained.compose(ignored -> withTimeout(
                        "flush",
                        Future.join(keyedCalls.whenFlushed(), usageReporter.stop())
                                .mapEmpty(),
                        OUTCOME_FLUSH_TIMEOUT_MILLIS))
                .compose(ignored -> {
                    configuration.stop();
                    return peerServer.stop();
                });
    }

    /**
     * Port on which routers and other sidecars connect.
     *
     * @return the port, 0 before the process has started
     */
    public int peerPort() {
        return peerPort;
    }

    /**
     * Port of the admin server.
     *
     * @return the port, 0 before the process has started
     */
    public int adminPort() {
        return adminServer.port();
    }

    private EngineCommander createCommander(EngineClient engine, VmListClient vmList, PrometheusMeterRegistry metrics) {
        EndpointRank rank = new EndpointRank(
                vmList::read,
                configuration,
                settings.service(),
                settings.shared().dataCentre(),
                settings.shared().process());
        return new EngineCommander(
                engine,
                settings.service(),
                configuration,
                gate,
                rank,
                CommanderTimings.DEFAULT,
                new CommandMetrics(metrics));
    }

    private static Future<Void> withTimeout(String step, Future<Void> operation, long timeoutMillis) {
        if (timeoutMillis == 0) {
            return operation;
        }
        return operation.timeout(timeoutMillis, TimeUnit.MILLISECONDS).recover(failure -> {
            LOGGER.warn("graceful stop step timed out step={} timeoutMillis={}", step, timeoutMillis);
            return Future.succeededFuture();
        });
    }

    private void applyConfiguration(Configuration current) {
        boolean takesNewWork = current.takesNewWork(
                settings.shared().dataCentre(), settings.shared().process());
        if (takesNewWork != gate.isAccepting() && !isStopping) {
            LOGGER.info("endpoint availability changed availability={}", takesNewWork ? "in" : "out");
            gate.setAccepting(takesNewWork);
        }
    }

    private void handleConnection(PeerConnection connection) {
        new RouterSession(vertx, connection, this::createHello, endpointServices);
    }

    private static AdmissionController createAdmissionController(
            SidecarSettings settings, ConfigurationService configuration) {
        int quickTokens = configuration.current().rules().quickTokens();
        return new AdmissionController(
                new AdmissionSettings(settings.concurrency(), settings.memoryTokens(), quickTokens),
                new LearnedLengths(quickTokens),
                new ConfiguredShares(configuration));
    }

    private Hello createHello() {
        return new Hello(
                PROTOCOL_VERSION,
                settings.shared().process(),
                incarnation,
                ProcessRole.SIDECAR,
                settings.service(),
                settings.shared().dataCentre(),
                configuration.current().offset());
    }
}
