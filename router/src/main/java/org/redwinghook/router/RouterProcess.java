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
import org.redwinghook.runtime.admin.AdminServer;
import org.redwinghook.runtime.config.ConfigurationSource;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.WireMetrics;

/** Assembles a router from its services. */
public final class RouterProcess implements ManagedProcess {

    private static final int PROTOCOL_VERSION = 1;

    private final RouterSettings settings;
    private final ConfigurationSource configuration;
    private final long incarnation = System.currentTimeMillis();
    private final EndpointDirectory directory;
    private final CallerServer callers;
    private final AdminServer admin;
    private boolean accepting = true;

    /**
     * Creates a router.
     *
     * @param vertx runs it
     * @param settings its settings
     * @param configuration the configuration in force
     */
    public RouterProcess(Vertx vertx, RouterSettings settings, ConfigurationSource configuration) {
        this.settings = settings;
        this.configuration = configuration;
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        ServiceRegistry services = new ServiceRegistry();
        directory = new EndpointDirectory(
                vertx,
                new VmListClient(vertx, settings.shared().vmList()),
                configuration,
                settings.shared().dataCentre(),
                new FrameCodec(),
                new WireMetrics(metrics),
                this::hello);
        Authenticator authenticator = new Authenticator(configuration);
        EndpointSelector selector =
                new EndpointSelector(bound -> ThreadLocalRandom.current().nextInt(bound));
        CompletionHandler completions = new CompletionHandler(
                configuration, authenticator, directory, selector, settings.requestTimeoutMillis());
        ServiceCallHandler calls = new ServiceCallHandler(
                configuration, authenticator, directory, selector, settings.requestTimeoutMillis());
        callers = new CallerServer(vertx, settings.caller(), completions, calls);
        services.register("endpoints", directory);
        admin = new AdminServer(vertx, settings.shared().admin(), services, metrics, () -> accepting);
    }

    @Override
    public Future<Void> start() {
        directory.start();
        return callers.start().compose(port -> admin.start());
    }

    @Override
    public Future<Void> stopGracefully() {
        accepting = false;
        return callers.stop().onComplete(ignored -> directory.close());
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
