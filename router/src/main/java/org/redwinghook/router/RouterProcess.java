package org.redwinghook.router;

import java.util.concurrent.ThreadLocalRandom;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.routing.EndpointSelector;
import org.redwinghook.router.caller.Authenticator;
import org.redwinghook.router.caller.CallerServer;
import org.redwinghook.router.caller.CompletionHandler;
import org.redwinghook.router.caller.ServiceCallHandler;
import org.redwinghook.router.endpoint.EndpointDirectory;
import org.redwinghook.router.peer.RouterMesh;
import org.redwinghook.runtime.admin.AdminServer;
import org.redwinghook.runtime.config.ConfigurationAdmin;
import org.redwinghook.runtime.config.ConfigurationService;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.WireMetrics;

/** Assembles a router from its services. */
public final class RouterProcess implements ManagedProcess {

    private static final int PROTOCOL_VERSION = 1;

    private final RouterSettings settings;
    private final ConfigurationService configuration;
    private final long incarnation = System.currentTimeMillis();
    private final EndpointDirectory directory;
    private final CallerServer callers;
    private final RouterMesh mesh;
    private final AdminServer admin;
    private volatile int peerPort;
    private boolean accepting = true;

    /**
     * Creates a router.
     *
     * @param vertx runs it
     * @param settings its settings
     * @param configuration the configuration in force
     */
    public RouterProcess(Vertx vertx, RouterSettings settings, ConfigurationService configuration) {
        this(vertx, settings, configuration, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }

    /**
     * Creates a router.
     *
     * @param vertx runs it
     * @param settings its settings
     * @param configuration the configuration in force
     * @param metrics where counters are registered
     */
    public RouterProcess(
            Vertx vertx, RouterSettings settings, ConfigurationService configuration, PrometheusMeterRegistry metrics) {
        this.settings = settings;
        this.configuration = configuration;
        FrameCodec codec = new FrameCodec();
        WireMetrics wireMetrics = new WireMetrics(metrics);
        ServiceRegistry services = new ServiceRegistry();
        directory = new EndpointDirectory(
                vertx,
                new VmListClient(vertx, settings.shared().vmList()),
                configuration,
                settings.shared().dataCentre(),
                codec,
                wireMetrics,
                this::hello);
        Authenticator authenticator = new Authenticator(configuration);
        EndpointSelector selector =
                new EndpointSelector(bound -> ThreadLocalRandom.current().nextInt(bound));
        CompletionHandler completions = new CompletionHandler(
                configuration, authenticator, directory, selector, settings.requestTimeoutMillis());
        ServiceCallHandler calls = new ServiceCallHandler(
                configuration, authenticator, directory, selector, settings.requestTimeoutMillis());
        callers = new CallerServer(vertx, settings.caller(), completions, calls);
        mesh = new RouterMesh(
                vertx,
                settings.shared().process(),
                settings.shared().peer(),
                codec,
                wireMetrics,
                this::hello,
                configuration);
        directory.onMembers(mesh::update);
        services.register("endpoints", directory);
        services.register("mesh", mesh);
        services.register("configuration", configuration);
        admin = new AdminServer(
                vertx, settings.shared().admin(), services, metrics, () -> accepting && configuration.isReady());
        new ConfigurationAdmin(configuration).register(admin.routes());
    }

    @Override
    public Future<Void> start() {
        return mesh.start()
                .onSuccess(port -> peerPort = port)
                .compose(port -> callers.start())
                .compose(port -> admin.start())
                .onSuccess(ignored -> {
                    configuration.start();
                    directory.start();
                });
    }

    @Override
    public Future<Void> stopGracefully() {
        accepting = false;
        return callers.stop().onComplete(ignored -> directory.close()).eventually(() -> {
            configuration.stop();
            return mesh.stop();
        });
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
                ProcessRole.ROUTER,
                null,
                settings.shared().dataCentre(),
                configuration.current().offset());
    }
}
