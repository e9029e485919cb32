package org.redwinghook.sidecar;

import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.admin.AdminServer;
import org.redwinghook.runtime.config.ConfigurationAdmin;
import org.redwinghook.runtime.config.ConfigurationService;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerServer;
import org.redwinghook.runtime.wire.WireMetrics;
import org.redwinghook.sidecar.call.CallService;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.generation.GenerationService;
import org.redwinghook.sidecar.generation.GenerationStore;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.peer.RouterSession;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles a sidecar from its services. */
public final class SidecarProcess implements ManagedProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(SidecarProcess.class);
    private static final int PROTOCOL_VERSION = 1;

    private final SidecarSettings settings;
    private final ConfigurationService configuration;
    private final long incarnation = System.currentTimeMillis();
    private final AtomicLong lastIdentifier = new AtomicLong();
    private final EndpointGate gate;
    private final GenerationService generations;
    private final CallService calls;
    private final PeerServer peers;
    private final AdminServer admin;
    private volatile int peerPort;
    private boolean stopping;

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
        this.settings = settings;
        this.configuration = configuration;
        ServiceRegistry services = new ServiceRegistry();
        gate = new EndpointGate(vertx, new AdmissionController(settings.concurrency()));
        generations = new GenerationService(
                vertx,
                new EngineClient(vertx, settings.endpoint()),
                new GenerationStore(settings.shared().process(), incarnation),
                gate,
                () -> configuration.current().rules().resumeWindowMillis());
        calls = new CallService(vertx, settings.endpoint(), gate);
        peers = new PeerServer(
                vertx, settings.shared().peer(), new FrameCodec(), new WireMetrics(metrics), this::accept);
        services.register("gate", gate);
        services.register("configuration", configuration);
        admin = new AdminServer(
                vertx, settings.shared().admin(), services, metrics, () -> gate.accepting() && configuration.isReady());
        new ConfigurationAdmin(configuration).register(admin.routes());
        configuration.onChange(this::apply);
        apply(configuration.current());
    }

    @Override
    public Future<Void> start() {
        return peers.start()
                .onSuccess(port -> peerPort = port)
                .compose(port -> admin.start())
                .onSuccess(ignored -> configuration.start());
    }

    @Override
    public Future<Void> stopGracefully() {
        stopping = true;
        gate.setAccepting(false);
        Promise<Void> idle = Promise.promise();
        gate.whenIdle(() -> idle.tryComplete());
        return idle.future().compose(ignored -> {
            configuration.stop();
            return peers.stop();
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
        new RouterSession(
                connection, this::hello, gate, generations, calls, lastIdentifier::incrementAndGet, configuration);
    }

    /**
     * Port that other processes connect to.
     *
     * @return the port, 0 before the start
     */
    public int peerPort() {
        return peerPort;
    }

    /**
     * Port that operators connect to.
     *
     * @return the port, 0 before the start
     */
    public int adminPort() {
        return admin.port();
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
