package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import org.redwinghook.core.forward.CallDurations;
import org.redwinghook.core.forward.EndpointEligibility;
import org.redwinghook.core.forward.EndpointNotices;
import org.redwinghook.core.forward.Exclusion;
import org.redwinghook.core.forward.ForwardingConfiguration;
import org.redwinghook.core.forward.GenerationDurations;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.core.message.CopyReport;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.origin.StreamOrigin;
import org.redwinghook.core.placement.EndpointSpeeds;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.quarantine.PromptQuarantine;
import org.redwinghook.core.receive.ReceiveBudget;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.StartGate;
import org.redwinghook.core.replica.StoreRole;
import org.redwinghook.router.peer.MeshSetup;
import org.redwinghook.router.peer.MeshTiming;
import org.redwinghook.router.peer.MeshTopology;
import org.redwinghook.router.peer.RouterMesh;
import org.redwinghook.runtime.admin.AdminServer;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.http.GuardedConnections;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.process.ReloadableSettings;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.WireMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Assembles and runs a router that forwards requests by route. */
public final class ForwardingProcess implements ManagedProcess {

    /** Interval of checks for lapsed endpoint entries, in milliseconds. */
    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 200;

    /** Part of the stop time that is reserved for closing connections, in milliseconds. */
    private static final long CONNECTION_CLOSE_MILLIS = 500;

    /**
     * Latest start of the secondary services, in milliseconds; a router that starts without the store needs its peers.
     */
    private static final long SECONDARY_SERVICES_LATEST_START_MILLIS = 800;

    /**
     * Delay of the secondary services after the state is complete, in milliseconds; the first requests run before them.
     */
    private static final long SECONDARY_SERVICES_DELAY_MILLIS = 300;

    /** Interval of checks whether a start has ended its wait for other routers, in milliseconds. */
    private static final long START_GATE_CHECK_MILLIS = 10;

    private static final int PROTOCOL_VERSION = 1;

    private static final Logger LOGGER = LoggerFactory.getLogger(ForwardingProcess.class);

    private final Vertx vertx;
    private final ForwardingSettings settings;
    private final ReloadableSettings<ForwardingSettings> reloadable;
    private final ForwardingState state;
    private final PollBarrier pollBarrier;
    private final ForwardServer server;
    private final ReadinessServer readinessServer;
    private final RouterExchange routerExchange;
    private final SpeedTracker speedTracker;
    private final SpeedExchange speedExchange;
    private final WaitingRequests waiting;
    private final RouterMesh mesh;
    private final RouterMembership membership;
    private final List<RecordFollower> followers;
    private final VersionRecords versionRecords;
    private final LeaveWatch leaveWatch;
    private final CompositeMeterRegistry meters = new CompositeMeterRegistry();
    private final MonotonicClock clock = MonotonicClock.system();
    private final StartGate startGate = new StartGate();
    private final long incarnation = System.currentTimeMillis();
    private boolean accepting = true;
    private boolean secondaryServicesStarted;
    private boolean isStartWaiting;

    /**
     * Creates a router.
     *
     * @param vertx event loop of the router
     * @param reloadable its settings
     * @param platform what the router uses of the platform
     */
    public ForwardingProcess(Vertx vertx, ReloadableSettings<ForwardingSettings> reloadable, PlatformAccess platform) {
        this.vertx = vertx;
        this.settings = reloadable.current();
        this.reloadable = reloadable;
        state = new ForwardingState(platform.decoder(), clock);
        EndpointEligibility eligibility = new EndpointEligibility(state.endpoints());
        eligibility.addRule((endpoint, scope, now) -> endpoint.hasLeaveNotice() ? Exclusion.LEAVING : null);
        EndpointNotices notices = new EndpointNotices(state.endpoints());
        eligibility.addRule(notices);
        AttemptObservers observers = new AttemptObservers();
        WorkLedger ledger = new WorkLedger();
        HttpClientAgent client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true).setKeepAlive(true).setDecompressionSupported(false));
        RunningStreams streams = new RunningStreams();
        pollBarrier = new PollBarrier(vertx, clock);
        ForwardMetrics metrics = new ForwardMetrics(meters);
        platform.store().onEra(metrics::recordStoreEra);
        platform.store().onEra(state::beginEra);
        observers.register(new NoticeObserver(notices, state, clock, metrics));
        PromptGuard promptGuard = new PromptGuard(new PromptQuarantine(settings.process()), clock, metrics);
        promptGuard.onQuarantine(streams::withdraw);
        ForwardSelector selector = new ForwardSelector(
                state,
                eligibility,
                ledger,
                clock,
                reloadable::current,
                this::routerCount,
                () -> ThreadLocalRandom.current().nextDouble());
        waiting = new WaitingRequests(
                vertx,
                clock,
                state,
                selector,
                metrics,
                () -> reloadable.current().waiting(),
                this::routerCount);
        observers.register(waiting);
        routerExchange = new RouterExchange(vertx, settings.process(), state, ledger, clock, promptGuard);
        followers = new ArrayList<>();
        RecordFollower.StoreReading reading = new RecordFollower.StoreReading(
                routerExchange::storeRole,
                routerExchange::usualStoreRole,
                this::routerCount,
                () -> ThreadLocalRandom.current().nextDouble());
        for (RecordTopic topic : RecordTopic.values()) {
            followers.add(
                    new RecordFollower(vertx, platform.store(), state, topic, clock, routerExchange::relay, reading));
        }
        RecordFollower endpointFollower = followers.get(RecordTopic.ENDPOINTS.ordinal());
        RecordFollower routerFollower = followers.get(RecordTopic.ROUTERS.ordinal());
        ListFreshness freshness = new ListFreshness(clock, routerExchange, endpointFollower, routerFollower);
        ListConfirmation confirmation =
                new ListConfirmation(vertx, clock, List.of(endpointFollower, routerFollower), this::routerCount);
        versionRecords = new VersionRecords(
                vertx, clock, platform.store(), state, freshness::isCurrent, confirmation, this::isFirstReader);
        ResumedStreams resumedStreams = new ResumedStreams(
                vertx,
                clock,
                routerExchange,
                versionRecords,
                (receiver, readHandler) -> createOriginLog(platform.originStore(), receiver, readHandler),
                selector,
                metrics);
        observers.register(resumedStreams);
        state.onEra(ignored -> resumedStreams.handleEra());
        GenerationDurations generationDurations = new GenerationDurations();
        observers.register(new GenerationTimer(generationDurations));
        ForwardContext context = new ForwardContext(
                vertx,
                clock,
                state,
                platform.protocol(),
                client,
                ledger,
                selector,
                new ServiceRetryBudgets(() -> reloadable.current().retries(), this::routerCount),
                platform.memoryMover(),
                metrics,
                new CallDurations(),
                generationDurations,
                observers,
                notices,
                promptGuard,
                pollBarrier,
                new ReceiveBudget(settings.callers().maximumBytes(), clock::millis),
                waiting,
                resumedStreams,
                this::reportWork);
        server = new ForwardServer(
                vertx, settings.caller(), context, streams, this::hasOtherRouters, settings.callers());
        readinessServer = new ReadinessServer(
                vertx,
                settings.ready(),
                settings.readyPath(),
                this::isReady,
                GuardedConnections.forOperators(
                        "ready",
                        settings.callers(),
                        refusal -> metrics.recordRefusedConnection("ready", refusal.label())));
        RolloutTracker rolloutTracker = startRollouts(platform.rolloutStore(), ledger, metrics);
        observers.register(rolloutTracker);
        eligibility.addRule(new RolloutRule(rolloutTracker, state.endpoints(), eligibility));
        EndpointSpeeds speeds = new EndpointSpeeds();
        speedTracker = new SpeedTracker(vertx, clock, state, context.selector(), metrics, speeds, () -> routerExchange
                .connectedRouters()
                .size());
        speedExchange = new SpeedExchange(vertx, clock, settings.process(), incarnation, routerExchange, speeds);
        observers.register(speedTracker);
        routerExchange.onWorkReport(() -> {
            startGate.recordReport(clock.millis());
            waiting.handleWorkReport();
        });
        connectRelocator(new RunRelocator(context, streams, routerExchange::broadcast, settings.process()));
        WireMetrics wireMetrics = new WireMetrics(meters);
        mesh = new RouterMesh(
                vertx,
                settings.process(),
                settings.peer(),
                new MeshSetup(
                        new FrameCodec(),
                        wireMetrics,
                        this::createHello,
                        routerExchange,
                        new MessageDispatcher(),
                        MeshTiming.FAST,
                        MeshTopology.ALL));
        membership = new RouterMembership(vertx, platform.store(), state, settings, mesh);
        state.onChange((topic, changed) -> {
            if (topic == RecordTopic.ROUTERS) {
                membership.update();
            }
            if (topic == RecordTopic.OPERATORS) {
                waiting.handleConfiguration();
            }
            waiting.scheduleService();
        });
        leaveWatch = new LeaveWatch(
                context,
                routerExchange,
                platform.engineReports(),
                followers.get(RecordTopic.ENDPOINTS.ordinal()).trust(),
                settings.process());
    }

    private OriginLog createOriginLog(OriginStore store, Consumer<StreamOrigin> receiver, Runnable readHandler) {
        return new OriginLog(vertx, clock, settings.process(), store, this::routerCount, receiver, readHandler);
    }

    private RolloutTracker startRollouts(RolloutStore store, WorkLedger ledger, ForwardMetrics metrics) {
        RolloutTracker tracker = new RolloutTracker(
                new RolloutContext(vertx, state, routerExchange, ledger, store, clock, metrics),
                () -> reloadable.current().rollouts(),
                settings.process(),
                incarnation);
        tracker.start();
        return tracker;
    }

    private void connectRelocator(RunRelocator relocator) {
        state.onEndpointLeaving(relocator::handleEndpointLeaving);
        routerExchange.onConnected(peer -> relocator.handleRouterConnected(peer.name()));
        routerExchange.register(CopyReport.class, (peer, report) -> relocator.handleCopyReport(report));
    }

    private void reportWork() {
        routerExchange.report();
    }

    private boolean isFirstReader() {
        return canReadStore() && routerExchange.storeRole() == StoreRole.FIRST_READER;
    }

    private boolean canReadStore() {
        return followers.stream().allMatch(RecordFollower::canReadStore);
    }

    private void logSettings(ForwardingSettings previous) {
        ForwardingSettings newest = reloadable.current();
        LOGGER.info(
                "settings in force digest={} previous={} changed={} afterRestart={}",
                newest.digest(),
                previous.digest(),
                newest.changedNames(previous, false),
                newest.changedNames(settings, true));
    }

    @Override
    public Future<Void> start() {
        LOGGER.info("settings in force digest={}", settings.digest());
        reloadable.onChange(previous -> vertx.runOnContext(ignored -> logSettings(previous)));
        // The store is read first: its records are all that the first requests need.
        followers.forEach(RecordFollower::start);
        leaveWatch.start();
        versionRecords.start();
        state.onChange((topic, changed) -> handleStateChange());
        vertx.setPeriodic(EXPIRY_CHECK_INTERVAL_MILLIS, ignored -> state.removeLapsedEntries());
        vertx.setTimer(SECONDARY_SERVICES_LATEST_START_MILLIS, ignored -> startSecondaryServices());
        return Future.all(server.start(), readinessServer.start())
                .onSuccess(ignored -> pollBarrier.start())
                .mapEmpty();
    }

    private void handleStateChange() {
        if (!state.isComplete()) {
            return;
        }
        if (!secondaryServicesStarted) {
            server.serveEarlyRequests();
            vertx.setTimer(SECONDARY_SERVICES_DELAY_MILLIS, ignored -> startSecondaryServices());
        }
        if (!isStartWaiting && !isStartGateOpen()) {
            isStartWaiting = true;
            awaitOtherRouters(clock.millis());
        }
    }

    /** Logs the end of the wait for a router that may know more than the store's copy. */
    private void awaitOtherRouters(long sinceMillis) {
        vertx.setTimer(START_GATE_CHECK_MILLIS, ignored -> {
            if (!isStartGateOpen()) {
                awaitOtherRouters(sinceMillis);
                return;
            }
            LOGGER.info(
                    "start waited for other routers answered={} millis={} era={}",
                    startGate.isAnswered(),
                    clock.millis() - sinceMillis,
                    state.era());
        });
    }

    private boolean isStartGateOpen() {
        if (!state.isComplete()) {
            return false;
        }
        startGate.recordComplete(clock.millis());
        boolean mayHaveOthers = !state.replica(RecordTopic.ROUTERS).isComplete() || membership.hasOthers();
        return startGate.isOpen(state.era(), mayHaveOthers, clock.millis());
    }

    /** Starts what the first requests do not need: the connections to other routers and the operators' port. */
    private void startSecondaryServices() {
        if (secondaryServicesStarted) {
            return;
        }
        secondaryServicesStarted = true;
        routerExchange.setCanReadStore(this::canReadStore);
        routerExchange.setStoreWasUnavailable(() -> followers.stream().anyMatch(RecordFollower::storeWasUnavailable));
        routerExchange.start();
        speedTracker.start();
        speedExchange.start();
        versionRecords.startWriting();
        membership.register();
        mesh.start().onFailure(failure -> LOGGER.error("port for routers not opened cause={}", failure.toString()));
        PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        meters.add(registry);
        ServiceRegistry services = new ServiceRegistry();
        services.register("forwarding", (StateSource) this::dump);
        services.register("mesh", mesh);
        new AdminServer(vertx, settings.admin(), services, registry, this::isReady, settings.callers())
                .start()
                .onFailure(failure -> LOGGER.error("port for operators not opened cause={}", failure.toString()));
    }

    private ForwardingDump dump() {
        return new ForwardingDump(
                settings.process(),
                incarnation,
                reloadable.current().digest(),
                accepting,
                state.configuration().map(ForwardingConfiguration::version).orElse(0L),
                state.endpoints().entries(),
                state.endpoints().withdrawnDataCentres(),
                routerExchange.connectedRouters(),
                server.runningRequests(),
                waiting.size());
    }

    @Override
    public Future<Void> stopGracefully() {
        return stopGracefully(0);
    }

    @Override
    public Future<Void> stopGracefully(long signalAgeMillis) {
        accepting = false;
        long drainMillis = Math.max(1, reloadable.current().stopMillis() - CONNECTION_CLOSE_MILLIS - signalAgeMillis);
        LOGGER.info(
                "stop begins running={} drainMillis={} signalAgeMillis={}",
                server.runningRequests(),
                drainMillis,
                signalAgeMillis);
        membership.leave();
        return server.drain(signalAgeMillis, drainMillis)
                .compose(ignored -> server.stop())
                .onComplete(ignored -> {
                    followers.forEach(RecordFollower::stop);
                    mesh.stop();
                });
    }

    private boolean hasOtherRouters() {
        return membership.hasOthers();
    }

    private int routerCount() {
        return membership.size();
    }

    private Hello createHello() {
        return new Hello(
                PROTOCOL_VERSION,
                settings.process(),
                incarnation,
                ProcessRole.ROUTER,
                null,
                settings.dataCentre(),
                state.configuration().map(ForwardingConfiguration::version).orElse(0L));
    }

    private boolean isReady() {
        return accepting && isStartGateOpen();
    }
}
