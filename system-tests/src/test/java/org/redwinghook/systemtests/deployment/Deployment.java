package org.redwinghook.systemtests.deployment;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import com.google.common.hash.Hashing;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.router.RouterProcess;
import org.redwinghook.router.RouterSettings;
import org.redwinghook.router.endpoint.DeliveryTiming;
import org.redwinghook.runtime.config.ConfigurationFollowers;
import org.redwinghook.runtime.config.ConfigurationPublisher;
import org.redwinghook.runtime.config.LogConfigurationFollower;
import org.redwinghook.runtime.config.PlatformConfigurationLog;
import org.redwinghook.runtime.config.PublishResult;
import org.redwinghook.runtime.config.VertxScheduler;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.process.ProcessVerticle;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.settings.ProcessSettings;
import org.redwinghook.sidecar.SidecarProcess;
import org.redwinghook.sidecar.SidecarSettings;
import org.redwinghook.standins.StandIn;
import org.redwinghook.standins.engine.ColdStart;
import org.redwinghook.standins.engine.EngineMemory;
import org.redwinghook.standins.engine.EngineReporting;
import org.redwinghook.standins.engine.EngineSettings;
import org.redwinghook.standins.engine.EngineStandIn;
import org.redwinghook.standins.engine.EngineTiming;
import org.redwinghook.standins.engine.ReceivedRequest;
import org.redwinghook.standins.log.LogStandIn;
import org.redwinghook.standins.plain.Effect;
import org.redwinghook.standins.plain.PlainServiceStandIn;
import org.redwinghook.standins.relay.Relay;
import org.redwinghook.standins.vmlist.VmListStandIn;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.History;

/**
 * Two routers, two engines and two plain services in two data centres, with stand-ins of the platform. Each process
 * runs on its own Vert.x instance; closing the instance kills the process without draining it.
 */
public final class Deployment implements AutoCloseable {

    /** Name of the model. */
    public static final String MODEL = "copy";

    /** Name of the plain service. */
    public static final String PLAIN_SERVICE = "orders";

    /** Credential of the only customer. */
    public static final String CREDENTIAL = "test-credential";

    /** Team that publishes all sections. */
    private static final String TEAM = "ops";

    private static final long RETENTION_MILLIS = 3_600_000;
    private static final long REQUEST_TIMEOUT_MILLIS = 2_000;
    private static final int ENDPOINT_CONCURRENCY = 16;
    private static final long PLANNED_STOP_TIMEOUT_MILLIS = 20_000;
    private static final int TOKEN_MICROS = 4_000;

    /** Median output length, far above all limits, so that nearly every output reaches the requested length. */
    private static final int MEDIAN_TOKENS = 40_000;

    // Sidecars send a heartbeat every 5 s, so a silence timeout below the default of 15 s would close idle connections.
    private static final DeliveryTiming DELIVERY_TIMING = new DeliveryTiming(1_000, 15_000, 20, 100, 3_000, 250);

    // Processes listen on random loopback networks, so that concurrent test runs rarely share addresses.
    private static final int MAXIMUM_OCTET = 250;
    private static final int NETWORK_OCTET = ThreadLocalRandom.current().nextInt(1, MAXIMUM_OCTET);
    private static final AtomicInteger SUBNET_COUNTER =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(MAXIMUM_OCTET));
    private static final AtomicLong INCARNATION_COUNTER = new AtomicLong();

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final History history;
    private final ColdStart coldStart;
    private final LogStandIn log = new LogStandIn(vertx, 0);
    private final VmListStandIn vmList = new VmListStandIn(vertx, 0, new JsonArray());
    private final List<Vm> vms;
    private final Map<Vm, EngineStandIn> engines = new HashMap<>();
    private final Map<Vm, PlainServiceStandIn> plainServices = new HashMap<>();
    private final Map<Vm, Relay> peerLinks = new HashMap<>();
    private final Map<Vm, Relay> endpointLinks = new HashMap<>();
    private final Map<Vm, RunningProcess> runningProcesses = new ConcurrentHashMap<>();
    private int logPort;
    private int vmListPort;

    /**
     * Creates a deployment that is not started.
     *
     * @param history history to which events of processes and operators are added
     * @param coldStart behaviour of engines after their start
     */
    public Deployment(History history, ColdStart coldStart) {
        this.history = history;
        this.coldStart = coldStart;
        String subnet = "127." + NETWORK_OCTET + "."
                + (1 + Math.floorMod(SUBNET_COUNTER.getAndIncrement(), MAXIMUM_OCTET)) + ".";
        vms = List.of(
                new Vm("router-1", "dc-1", subnet + "11", null),
                new Vm("router-2", "dc-2", subnet + "12", null),
                new Vm("engine-1", "dc-1", subnet + "21", ServiceKind.ENGINE),
                new Vm("engine-2", "dc-2", subnet + "22", ServiceKind.ENGINE),
                new Vm("plain-1", "dc-1", subnet + "31", ServiceKind.PLAIN),
                new Vm("plain-2", "dc-2", subnet + "32", ServiceKind.PLAIN));
        for (Vm vm : vms) {
            if (vm.kind() == ServiceKind.ENGINE) {
                engines.put(vm, new EngineStandIn(vertx, 0, engineSettings(coldStart)));
            } else if (vm.kind() == ServiceKind.PLAIN) {
                plainServices.put(vm, new PlainServiceStandIn(vertx, 0));
            }
        }
    }

    /** Starts the stand-ins, publishes the configuration and starts all processes, which may not be connected yet. */
    public void start() {
        logPort = log.start().await();
        vmListPort = vmList.start().await();
        engines.forEach(this::startEndpoint);
        plainServices.forEach(this::startEndpoint);
        for (Vm vm : vms) {
            Relay relay = new Relay(vertx, vm.relayedPeerAddress(), vm.peerAddress());
            relay.start().await();
            peerLinks.put(vm, relay);
            vmList.add(vm.vmListEntry());
        }
        String hash =
                Hashing.sha256().hashString(CREDENTIAL, StandardCharsets.UTF_8).toString();
        publish("owners", Map.of("acme", "{\"weight\": 1}"));
        publish("places", Map.of("dc-1", "{\"region\": \"r\"}", "dc-2", "{\"region\": \"r\"}"));
        publish(
                "services",
                Map.of(
                        MODEL,
                        "{\"kind\": \"engine\", \"owner\": \"acme\", \"maximumOutputTokens\": 4096}",
                        PLAIN_SERVICE,
                        "{\"kind\": \"plain\", \"owner\": \"acme\", \"operations\": "
                                + "[{\"method\": \"POST\", \"path\": \"/orders\", \"idempotent\": false}]}"));
        publish(
                "customers",
                Map.of(
                        "shop",
                        "{\"owner\": \"acme\", \"credentialHashes\": [\"" + hash
                                + "\"], \"requestsPerSecond\": 10000, \"tokensPerMinute\": 100000000}"));
        vms.forEach(this::startProcess);
    }

    /**
     * Returns the VMs of one kind.
     *
     * @param kind kind of the endpoint, null for the VMs of routers
     * @return the VMs
     */
    public List<Vm> vms(@Nullable ServiceKind kind) {
        return vms.stream().filter(vm -> vm.kind() == kind).toList();
    }

    /**
     * Returns the log.
     *
     * @return the stand-in
     */
    public LogStandIn log() {
        return log;
    }

    /**
     * Returns the VM list.
     *
     * @return the stand-in
     */
    public VmListStandIn vmList() {
        return vmList;
    }

    /**
     * Returns the engine of a VM.
     *
     * @param vm the VM
     * @return the stand-in
     */
    public EngineStandIn engine(Vm vm) {
        return engines.get(vm);
    }

    /**
     * Returns the plain service of a VM.
     *
     * @param vm the VM
     * @return the stand-in
     */
    public PlainServiceStandIn plainService(Vm vm) {
        return plainServices.get(vm);
    }

    /**
     * Returns the relay between other processes and a process.
     *
     * @param vm VM of the process
     * @return the relay
     */
    public Relay peerLink(Vm vm) {
        return peerLinks.get(vm);
    }

    /**
     * Returns the relay between a sidecar and its endpoint.
     *
     * @param vm VM of the sidecar
     * @return the relay
     */
    public Relay endpointLink(Vm vm) {
        return endpointLinks.get(vm);
    }

    /**
     * Starts the process of a VM unless it is running.
     *
     * @param vm the VM
     */
    public void startProcess(Vm vm) {
        synchronized (vm) {
            if (runningProcesses.containsKey(vm)) {
                return;
            }
            long incarnation = INCARNATION_COUNTER.incrementAndGet();
            Vertx processVertx =
                    Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
            ProcessVerticle verticle =
                    new ProcessVerticle(verticleVertx -> createProcess(verticleVertx, vm, incarnation));
            history.add(new Event.ProcessStarted(nowMillis(), vm.name(), incarnation));
            processVertx.deployVerticle(verticle).await();
            runningProcesses.put(vm, new RunningProcess(processVertx, verticle, incarnation));
        }
    }

    /**
     * Kills the process of a VM without draining it.
     *
     * @param vm the VM
     */
    public void kill(Vm vm) {
        synchronized (vm) {
            RunningProcess killedProcess = runningProcesses.remove(vm);
            if (killedProcess != null) {
                history.add(new Event.ProcessEnded(nowMillis(), vm.name(), killedProcess.incarnation()));
                killedProcess.vertx().close().await();
            }
        }
    }

    /**
     * Stops the process of a VM gracefully if it is running.
     *
     * @param vm the VM
     */
    public void stopGracefully(Vm vm) {
        synchronized (vm) {
            RunningProcess stoppedProcess = runningProcesses.get(vm);
            if (stoppedProcess != null) {
                stoppedProcess
                        .verticle()
                        .stopGracefully()
                        .timeout(PLANNED_STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                        .await();
                kill(vm);
            }
        }
    }

    /**
     * Returns the settings of the process of a VM, for a start outside this JVM.
     *
     * @param vm the VM
     * @return the YAML document
     */
    public String settingsYaml(Vm vm) {
        String sharedSettings =
                "process: " + vm.name() + "\ndataCentre: " + vm.dataCentre() + "\npeer: " + yaml(vm.peerAddress())
                        + "\nadmin: " + yaml(vm.adminAddress()) + "\nplatform:\n  log: {port: " + logPort
                        + "}\n  vmList: {port: "
                        + vmListPort + "}\n";
        return vm.kind() == null
                ? sharedSettings + "caller: " + yaml(vm.callerAddress()) + "\nsettleMillis: 0\n"
                : sharedSettings + "service: " + vm.service() + "\nkind: "
                        + vm.kind().name().toLowerCase(Locale.ROOT) + "\nendpoint: " + yaml(vm.endpointAddress())
                        + "\n";
    }

    /**
     * Publishes a section as an operator.
     *
     * @param section the section
     * @param entries all entries of the section
     * @return the result of the publication
     */
    public PublishResult publish(String section, Map<String, String> entries) {
        Section newSection = Section.read(section, entries).get();
        Promise<PublishResult> promise = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(ignored ->
                        createPublisher().publish(newSection, TEAM, "operator").onComplete(promise));
        PublishResult result = promise.future().await();
        if (result instanceof PublishResult.Accepted accepted) {
            history.add(new Event.ChangeAccepted(nowMillis(), section, accepted.version()));
        }
        return result;
    }

    /**
     * Withdraws or reinstates a data centre and records it.
     *
     * @param dataCentre the data centre
     * @param isWithdrawn whether it is withdrawn; otherwise it is reinstated
     */
    public void setWithdrawn(String dataCentre, boolean isWithdrawn) {
        // The change may take effect at any time until its result is known: a withdrawal counts from the result, a
        // reinstatement from the start.
        long startedAtMillis = nowMillis();
        PublishResult result =
                publish("availability." + dataCentre, Map.of("dataCentre", isWithdrawn ? "\"out\"" : "\"in\""));
        boolean isInForce = result instanceof PublishResult.Accepted || result instanceof PublishResult.Unchanged;
        if (isWithdrawn && isInForce) {
            history.add(new Event.Withdrawn(nowMillis(), dataCentre));
        } else if (!isWithdrawn && !(result instanceof PublishResult.Conflict)) {
            history.add(new Event.Reinstated(startedAtMillis, dataCentre));
        }
    }

    /**
     * Returns the number of running processes.
     *
     * @return the number
     */
    public int processCount() {
        return runningProcesses.size();
    }

    /** Adds the requests, effects and loads of the endpoints to the history. */
    public void recordEndpointEvents() {
        engines.forEach((vm, engine) -> {
            for (ReceivedRequest request : engine.requests()) {
                if (request.isAccepted()) {
                    history.add(new Event.WorkStarted(
                            request.receivedAtMillis(), vm.name(), vm.dataCentre(), request.prompt()));
                }
                if (request.isCold() && coldStart.steps() > 0) {
                    history.add(new Event.LoadObserved(
                            request.receivedAtMillis(),
                            vm.name(),
                            request.concurrentRequests(),
                            coldStart.coldCapacity()));
                }
            }
        });
        plainServices.forEach((vm, service) -> {
            for (Effect effect : service.effects()) {
                String key = effect.key().isEmpty() ? null : effect.key();
                history.add(new Event.WorkStarted(effect.atMillis(), vm.name(), vm.dataCentre(), effect.request()));
                history.add(new Event.EffectApplied(effect.atMillis(), vm.name(), effect.request(), key));
            }
        });
    }

    @Override
    public void close() {
        // No ProcessEnded events are added: they would excuse the processes from changes that are due after the run.
        runningProcesses.values().forEach(process -> process.vertx().close().await());
        vertx.close().await();
    }

    /**
     * Waits for a condition.
     *
     * @param timeoutMillis maximum wait in milliseconds
     * @param condition the condition
     * @return whether the condition became true in time
     */
    public static boolean await(long timeoutMillis, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                return false;
            }
            sleep(5);
        }
        return true;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    static long nowMillis() {
        return System.currentTimeMillis();
    }

    private ConfigurationPublisher createPublisher() {
        return new ConfigurationPublisher(
                new PlatformConfigurationLog(new LogClient(vertx, new Address("127.0.0.1", logPort))),
                new VertxScheduler(vertx));
    }

    private static String yaml(Address address) {
        return "{host: " + address.host() + ", port: " + address.port() + "}";
    }

    private void startEndpoint(Vm vm, StandIn endpoint) {
        int port = endpoint.start().await();
        Relay relay = new Relay(vertx, vm.endpointAddress(), new Address("127.0.0.1", port));
        relay.start().await();
        endpointLinks.put(vm, relay);
    }

    private ManagedProcess createProcess(Vertx processVertx, Vm vm, long incarnation) {
        ProcessSettings sharedSettings = new ProcessSettings(
                vm.name(),
                vm.dataCentre(),
                vm.peerAddress(),
                vm.adminAddress(),
                new Address("127.0.0.1", logPort),
                new Address("127.0.0.1", vmListPort),
                RETENTION_MILLIS,
                0);
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        LogConfigurationFollower follower =
                ConfigurationFollowers.create(processVertx, vm.role(), sharedSettings, metrics);
        follower.onChange(configuration -> recordVersions(vm, incarnation, configuration));
        if (vm.kind() == null) {
            RouterSettings settings =
                    new RouterSettings(sharedSettings, vm.callerAddress(), REQUEST_TIMEOUT_MILLIS, 0, DELIVERY_TIMING);
            return new RouterProcess(processVertx, settings, follower, metrics);
        }
        SidecarSettings settings = new SidecarSettings(
                sharedSettings,
                vm.service(),
                vm.kind(),
                vm.endpointAddress(),
                ENDPOINT_CONCURRENCY,
                EngineMemory.DEFAULT.capacityTokens());
        return new SidecarProcess(processVertx, settings, follower, metrics);
    }

    private void recordVersions(Vm vm, long incarnation, Configuration configuration) {
        List<Event> events = new ArrayList<>();
        configuration
                .sections()
                .forEach((section, version) -> events.add(
                        new Event.VersionInForce(nowMillis(), vm.name(), incarnation, section, version.version())));
        events.forEach(history::add);
    }

    private static EngineSettings engineSettings(ColdStart coldStart) {
        return new EngineSettings(
                1,
                MEDIAN_TOKENS,
                new EngineTiming(TOKEN_MICROS, 0, 0, EngineTiming.FAST.maximumBatch()),
                EngineMemory.DEFAULT,
                coldStart,
                EngineReporting.IMMEDIATE,
                10_000,
                200,
                10,
                true);
    }

    private record RunningProcess(Vertx vertx, ProcessVerticle verticle, long incarnation) {}
}
