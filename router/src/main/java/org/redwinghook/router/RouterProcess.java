package org.redwinghook.router;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClientOptions;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.quota.QuotaLimit;
import org.redwinghook.core.routing.EndpointSelector;
import org.redwinghook.core.usage.UsageLedger;
import org.redwinghook.router.caller.Authenticator;
import org.redwinghook.router.caller.CallerServer;
import org.redwinghook.router.caller.CompletionHandler;
import org.redwinghook.router.caller.ServiceCallHandler;
import org.redwinghook.router.endpoint.BudgetedRetries;
import org.redwinghook.router.endpoint.ConnectionSetup;
import org.redwinghook.router.endpoint.DeliveryContext;
import org.redwinghook.router.endpoint.EndpointDirectory;
import org.redwinghook.router.endpoint.RunningDeliveries;
import org.redwinghook.router.limit.QuotaClient;
import org.redwinghook.router.limit.RequestLimits;
import org.redwinghook.router.metrics.RouterMetrics;
import org.redwinghook.router.peer.MeshSetup;
import org.redwinghook.router.peer.MeshTiming;
import org.redwinghook.router.peer.MeshTopology;
import org.redwinghook.router.peer.RouterMesh;
import org.redwinghook.router.peer.RouterPeers;
import org.redwinghook.runtime.admin.AdminServer;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.config.ConfigurationAdmin;
import org.redwinghook.runtime.config.ConfigurationService;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.usage.UsageReporter;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.WireMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles the services of a router and starts and stops them. */
public final class RouterProcess implements ManagedProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(RouterProcess.class);
    private static final int PROTOCOL_VERSION = 1;

    /** Time for which callers may read the end of their answers after the limit for draining, in milliseconds. */
    private static final long LAST_READ_MILLIS = 5_000;

    private final Vertx vertx;
    private final RouterSettings settings;
    private final ConfigurationService configuration;
    private final long incarnation = System.currentTimeMillis();
    private final RunningDeliveries runningDeliveries = new RunningDeliveries();
    private final EndpointDirectory directory;
    private final RouterPeers peers;
    private final RouterMesh mesh;
    private final QuotaClient quota;
    private final UsageReporter usage;
    private final CallerServer callerServer;
    private final AdminServer admin;
    private volatile int peerPort;
    private boolean isAccepting = true;
    private int callerPort;

    /**
     * Creates a router.
     *
     * @param vertx Vert.x instance of the process
     * @param settings settings of the router
     * @param configuration source of the configuration in force
     */
    public RouterProcess(Vertx vertx, RouterSettings settings, ConfigurationService configuration) {
        this(vertx, settings, configuration, new PrometheusMeterRegistry(PrometheusConfig.DEFAULT));
    }

    /**
     * Creates a router.
     *
     * @param vertx Vert.x instance of the process
     * @param settings settings of the router
     * @param configuration source of the configuration in force
     * @param registry registry of the router's metrics
     */
    public RouterProcess(
            Vertx vertx,
            RouterSettings settings,
            ConfigurationService configuration,
            PrometheusMeterRegistry registry) {
        this.vertx = vertx;
        this.settings = settings;
        this.configuration = configuration;
        String process = settings.shared().process();
        RouterMetrics metrics = new RouterMetrics(registry);
        WireMetrics wireMetrics = new WireMetrics(registry);
        FrameCodec codec = new FrameCodec();
        directory = new EndpointDirectory(
                vertx,
                new VmListClient(vertx, settings.shared().vmList()),
                configuration,
                settings.shared(),
                new ConnectionSetup(codec, wireMetrics, this::hello, settings.timing(), metrics, configuration));
        MessageDispatcher dispatcher = new MessageDispatcher();
        peers = new RouterPeers(
                process,
                vertx.createNetClient(new NetClientOptions().setTcpNoDelay(true)),
                codec,
                wireMetrics,
                this::hello,
                directory::routers,
                dispatcher);
        mesh = new RouterMesh(
                vertx,
                process,
                settings.shared().peer(),
                new MeshSetup(
                        codec,
                        wireMetrics,
                        this::hello,
                        configuration,
                        dispatcher,
                        MeshTiming.DEFAULT,
                        MeshTopology.POSITIONS));
        directory.onMembers(mesh::update);
        quota = new QuotaClient(vertx, process, peers, dispatcher, this::quotaLimitOf, this::regionOf, metrics);
        UsageLedger ledger = new UsageLedger(process, incarnation);
        LogClient log = new LogClient(vertx, settings.shared().log());
        usage = new UsageReporter(vertx, log::append, ledger, UsageReporter.DEFAULT_INTERVAL_MILLIS);
        DeliveryContext deliveries = new DeliveryContext(
                vertx,
                directory,
                new EndpointSelector(bound -> ThreadLocalRandom.current().nextInt(bound)),
                new BudgetedRetries(configuration),
                settings.timing(),
                metrics,
                runningDeliveries);
        RequestLimits limits = new RequestLimits(quota, ledger, metrics);
        Authenticator authenticator = new Authenticator(configuration);
        callerServer = new CallerServer(
                vertx,
                settings.caller(),
                new CompletionHandler(
                        configuration, authenticator, deliveries, limits, settings.requestTimeoutMillis()),
                new ServiceCallHandler(
                        configuration, authenticator, deliveries, limits, settings.requestTimeoutMillis()));
        ServiceRegistry services = new ServiceRegistry();
        services.register("endpoints", directory);
        services.register("quota", quota);
        services.register("mesh", mesh);
        services.register("configuration", configuration);
        services.register("router", (StateSource) this::state);
        admin = new AdminServer(vertx, settings.shared().admin(), services, registry, this::isReady);
        new ConfigurationAdmin(configuration).register(admin.routes());
    }

    @Override
    public Future<Void> start() {
        quota.start();
        usage.start();
        return mesh.start()
                .onSuccess(port -> peerPort = port)
                .compose(port -> callerServer.start())
                .onSuccess(port -> callerPort = port)
                .compose(port -> admin.start())
                .onSuccess(ignored -> {
                    configuration.start();
                    directory.start();
                });
    }

    @Override
    public Future<Void> stopGracefully() {
        isAccepting = false;
        callerServer.closeConnectionsAfterNextResponse();
        return delay(settings.settleMillis())
                .compose(ignored -> drain())
                .compose(ignored -> usage.stop())
                .compose(ignored -> callerServer.stop())
                .onComplete(ignored -> {
                    directory.close();
                    peers.close();
                    configuration.stop();
                    mesh.stop();
                });
    }

    /**
     * Returns the port on which callers connect.
     *
     * @return the port, 0 before the router has started
     */
    public int callerPort() {
        return callerPort;
    }

    /**
     * Returns the port on which other routers connect.
     *
     * @return the port, 0 before the router has started
     */
    public int peerPort() {
        return peerPort;
    }

    /**
     * Returns the port on which operators connect.
     *
     * @return the port, 0 before the router has started
     */
    public int adminPort() {
        return admin.port();
    }

    private boolean isReady() {
        return isAccepting && directory.isVmListRead() && configuration.isReady();
    }

    private Future<Void> drain() {
        Future<Void> drained = callerServer.drain();
        long limitMillis = settings.shared().drainTimeoutMillis();
        if (limitMillis == 0 || drained.isComplete()) {
            return drained;
        }
        long timer = vertx.setTimer(limitMillis, ignored -> abortDeliveries());
        return drained.onComplete(ignored -> vertx.cancelTimer(timer))
                .timeout(limitMillis + LAST_READ_MILLIS, TimeUnit.MILLISECONDS)
                .recover(failure -> {
                    LOGGER.warn(
                            "drain ends with unread answers requests={} drainTimeoutMillis={}",
                            callerServer.runningRequests(),
                            limitMillis);
                    return Future.succeededFuture();
                });
    }

    private void abortDeliveries() {
        LOGGER.warn("drain reached its limit, aborting deliveries deliveries={}", runningDeliveries.size());
        runningDeliveries.abortAll("the router reached its limit for draining");
    }

    private Future<Void> delay(long millis) {
        Promise<Void> elapsed = Promise.promise();
        if (millis == 0) {
            return Future.succeededFuture();
        }
        vertx.setTimer(millis, ignored -> elapsed.complete());
        return elapsed.future();
    }

    private Optional<QuotaLimit> quotaLimitOf(String customer) {
        return Optional.ofNullable(configuration.current().customers().get(customer))
                .map(QuotaLimit::of);
    }

    private String regionOf(String dataCentre) {
        return configuration.current().regionOf(dataCentre);
    }

    private RouterState state() {
        return new RouterState(incarnation, isAccepting, callerServer.runningRequests(), runningDeliveries.size());
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

    private record RouterState(long incarnation, boolean accepting, int requests, int deliveries) {}
}
