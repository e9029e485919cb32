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
import org.redwinghook.sidecar.engine.CommanderTimes;
import org.redwinghook.sidecar.engine.EndpointRank;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.engine.EngineCommander;
import org.redwinghook.sidecar.engine.LoadMonitor;
import org.redwinghook.sidecar.generation.GenerationMetrics;
import org.redwinghook.sidecar.generation.GenerationService;
import org.redwinghook.sidecar.generation.GenerationStore;
import org.redwinghook.sidecar.generation.Retention;
import org.redwinghook.sidecar.once.ExecutorCount;
import org.redwinghook.sidecar.once.ExecutorInquiry;
import org.redwinghook.sidecar.once.OnceContext;
import org.redwinghook.sidecar.once.OnceMetrics;
import org.redwinghook.sidecar.once.OnceService;
import org.redwinghook.sidecar.peer.ConfiguredShares;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.peer.EndpointServices;
import org.redwinghook.sidecar.peer.RouterSession;
import org.redwinghook.sidecar.usage.EndpointUsage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles a sidecar from its services. */
public final class SidecarProcess implements ManagedProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(SidecarProcess.class);
    private static final int PROTOCOL_VERSION = 1;

    /** Longest wait for outcomes to reach the log at a graceful stop. */
    private static final long OUTCOME_FLUSH_MILLIS = 10_000;

    /** Random part of the incarnation; a clock that was set back must not give two starts one number. */
    private static final int RANDOM_BITS = 20;

    private final Vertx vertx;
    private final SidecarSettings settings;
    private final ConfigurationService configuration;
    private final long incarnation =
            (System.currentTimeMillis() << RANDOM_BITS) | new SecureRandom().nextInt(1 << RANDOM_BITS);
    private final EndpointGate gate;
    private final GenerationService generations;
    private final OnceService once;
    private final EndpointServices endpoint;
    private final PeerServer peers;
    private final AdminServer admin;
    private final UsageReporter usage;
    private Runnable commanderStop = () -> {};
    private boolean stopping;
    private volatile int peerPort;

    /**
     * Creates a sidecar.
     *
     * @param vertx runs it
     * @param settings its settings
     * @param configuration the configuration in force
     */
    public SidecarProcess(Vertx vertx, SidecarSettings settings, ConfigurationService configuration) {
        this(vertx, settings, configuration, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }

    /**
     * Creates a sidecar.
     *
     * @param vertx runs it
     * @param settings its settings
     * @param configuration the configuration in force
     * @param metrics where counters are registered
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
        gate = new EndpointGate(vertx, admission(settings, configuration));
        EngineClient engine = new EngineClient(vertx, settings.endpoint());
        UsageLedger ledger = new UsageLedger(settings.shared().process(), incarnation);
        EndpointUsage counts = new EndpointUsage(ledger, settings.service());
        LogClient log = new LogClient(vertx, settings.shared().log());
        usage = new UsageReporter(vertx, log::append, ledger, UsageReporter.INTERVAL_MILLIS);
        generations = new GenerationService(
                vertx,
                engine,
                new GenerationStore(settings.shared().process(), incarnation),
                gate,
                counts,
                new Retention(
                        () -> configuration.current().rules().resumeWindowMillis(), GenerationService.MOST_CHARACTERS),
                new GenerationMetrics(metrics));
        FrameCodec codec = new FrameCodec();
        WireMetrics wireMetrics = new WireMetrics(metrics);
        VmListClient vmList = new VmListClient(vertx, settings.shared().vmList());
        OnceContext onceContext = new OnceContext(
                vertx,
                log,
                new ExecutorIdentity(settings.shared().process(), incarnation),
                settings.service(),
                () -> configuration.current().rules().idempotencyWindowMillis(),
                new ExecutorCount(vmList, configuration, settings.service()),
                new OnceMetrics(metrics));
        once = new OnceService(onceContext, new ExecutorInquiry(vertx, codec, wireMetrics, vmList::read, this::hello));
        CallService calls = new CallService(vertx, settings.endpoint(), gate, once, counts);
        AtomicLong lastIdentifier = new AtomicLong();
        endpoint = new EndpointServices(
                settings.service(), gate, generations, calls, once, lastIdentifier::incrementAndGet, configuration);
        peers = new PeerServer(vertx, settings.shared().peer(), codec, wireMetrics, this::accept);
        services.register("gate", gate);
        services.register("generations", generations);
        services.register("once", once);
        services.register("configuration", configuration);
        if (settings.kind() == ServiceKind.ENGINE) {
            services.register(
                    "engine", new LoadMonitor(vertx, engine, LoadMonitor.INTERVAL_MILLIS, gate::endpointRestarted));
            EngineCommander commander = commander(engine, vmList, metrics);
            commander.start(vertx);
            commanderStop = commander::stop;
            services.register("commands", commander);
        }
        admin = new AdminServer(
                vertx, settings.shared().admin(), services, metrics, () -> gate.accepting() && configuration.isReady());
        new ConfigurationAdmin(configuration).register(admin.routes());
        configuration.onChange(this::apply);
        apply(configuration.current());
    }

    @Override
    public Future<Void> start() {
        usage.start();
        return peers.start()
                .onSuccess(port -> peerPort = port)
                .compose(port -> admin.start())
                .onSuccess(ignored -> configuration.start());
    }

    @Override
    public Future<Void> stopGracefully() {
        stopping = true;
        commanderStop.run();
        gate.setAccepting(false);
        Promise<Void> idle = Promise.promise();
        gate.whenIdle(() -> idle.tryComplete());
        Future<Void> finished = Future.join(idle.future(), once.idle()).compose(ignored -> generations.delivered());
        Future<Void> drained = limited(finished, settings.shared().drainTimeoutMillis());
        // Outcomes that a log outage holds back must not keep the process for ever: without them a retry is told
        // "outcome unknown", which is true.
        return drained.compose(ignored ->
                        limited(Future.join(once.flushed(), usage.stop()).mapEmpty(), OUTCOME_FLUSH_MILLIS))
                .compose(ignored -> {
                    configuration.stop();
                    return peers.stop();
                });
    }

    /**
     * Port for other processes.
     *
     * @return the port, 0 before the start
     */
    public int peerPort() {
        return peerPort;
    }

    /**
     * Port for operators.
     *
     * @return the port, 0 before the start
     */
    public int adminPort() {
        return admin.port();
    }

    private EngineCommander commander(EngineClient engine, VmListClient vmList, PrometheusMeterRegistry metrics) {
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
                CommanderTimes.USUAL,
                new CommandMetrics(metrics));
    }

    private static Future<Void> limited(Future<Void> work, long limitMillis) {
        if (limitMillis == 0) {
            return work;
        }
        return work.timeout(limitMillis, TimeUnit.MILLISECONDS).recover(failure -> {
            LOGGER.warn("the graceful stop goes on after its limit of {} ms", limitMillis);
            return Future.succeededFuture();
        });
    }

    private void apply(Configuration current) {
        boolean takesNewWork = current.takesNewWork(
                settings.shared().dataCentre(), settings.shared().process());
        if (takesNewWork != gate.accepting() && !stopping) {
            LOGGER.info("the configuration says that this endpoint is {}", takesNewWork ? "in" : "out");
            gate.setAccepting(takesNewWork);
        }
    }

    private void accept(PeerConnection connection) {
        new RouterSession(vertx, connection, this::hello, endpoint);
    }

    private static AdmissionController admission(SidecarSettings settings, ConfigurationService configuration) {
        int quickTokens = configuration.current().rules().quickTokens();
        return new AdmissionController(
                new AdmissionSettings(settings.concurrency(), settings.memoryTokens(), quickTokens),
                new LearnedLengths(quickTokens),
                new ConfiguredShares(configuration));
    }

    private Hello hello() {
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
