package org.redwinghook.sidecar;

import java.util.concurrent.atomic.AtomicLong;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.admission.AdmissionSettings;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.core.length.LearnedLengths;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.admin.AdminServer;
import org.redwinghook.runtime.config.ConfigurationSource;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerServer;
import org.redwinghook.runtime.wire.WireMetrics;
import org.redwinghook.sidecar.call.CallService;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.generation.GenerationService;
import org.redwinghook.sidecar.generation.GenerationStore;
import org.redwinghook.sidecar.peer.ConfiguredShares;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.sidecar.peer.RouterSession;

/** Assembles a sidecar from its services. */
public final class SidecarProcess implements ManagedProcess {

    private static final int PROTOCOL_VERSION = 1;

    private final SidecarSettings settings;
    private final ConfigurationSource configuration;
    private final long incarnation = System.currentTimeMillis();
    private final AtomicLong lastIdentifier = new AtomicLong();
    private final EndpointGate gate;
    private final GenerationService generations;
    private final CallService calls;
    private final PeerServer peers;
    private final AdminServer admin;

    /**
     * Creates a sidecar.
     *
     * @param vertx runs it
     * @param settings its settings
     * @param configuration the configuration in force
     */
    public SidecarProcess(Vertx vertx, SidecarSettings settings, ConfigurationSource configuration) {
        this.settings = settings;
        this.configuration = configuration;
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        ServiceRegistry services = new ServiceRegistry();
        gate = new EndpointGate(vertx, admission(settings, configuration));
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
        admin = new AdminServer(vertx, settings.shared().admin(), services, metrics, gate::accepting);
    }

    @Override
    public Future<Void> start() {
        return peers.start().compose(port -> admin.start());
    }

    @Override
    public Future<Void> stopGracefully() {
        gate.setAccepting(false);
        Promise<Void> idle = Promise.promise();
        gate.whenIdle(() -> idle.tryComplete());
        return idle.future().compose(ignored -> peers.stop());
    }

    private void accept(PeerConnection connection) {
        new RouterSession(
                connection, this::hello, settings.service(), gate, generations, calls, lastIdentifier::incrementAndGet);
    }

    private static AdmissionController admission(SidecarSettings settings, ConfigurationSource configuration) {
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
