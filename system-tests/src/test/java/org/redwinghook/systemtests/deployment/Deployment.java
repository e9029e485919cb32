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
import org.redwinghook.standins.vmlist.VmListStandIn;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.History;

/**
 * Two routers, two engines and two plain services in two data centres, with the platform's stand-ins. Each process has
 * a Vert.x instance of its own; closing it is a kill without a drain.
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
    private static final int CONCURRENCY = 16;
    private static final long PLANNED_STOP_MILLIS = 20_000;
    private static final int TOKEN_MICROS = 4_000;

    /** Far above all limits, so that nearly every output reaches the requested length. */
    private static final int MEDIAN_TOKENS = 40_000;

    // Sidecars send a heartbeat every 5 s, so a shorter silence than the usual 15 s would close idle connections.
    private static final DeliveryTiming TIMING = new DeliveryTiming(1_000, 15_000, 20, 100, 3_000, 250);

    private static final int LARGEST_BYTE = 250;
    private static final int NETWORK = ThreadLocalRandom.current().nextInt(1, LARGEST_BYTE);
    private static final AtomicInteger SUBNETS =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(LARGEST_BYTE));
    private static final AtomicLong INCARNATIONS = new AtomicLong();

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
    private final Map<Vm, Running> running = new ConcurrentHashMap<>();
    private int logPort;
    private int vmListPort;

    /**
     * Creates a deployment that has not started.
     *
     * @param history receives what processes and operators do
     * @param coldStart how engines behave after their start
     */
    public Deployment(History history, ColdStart coldStart) {
        this.history = history;
        this.coldStart = coldStart;
        String subnet = "127." + NETWORK + "." + (1 + Math.floorMod(SUBNETS.getAndIncrement(), LARGEST_BYTE)) + ".";
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

    /** Starts everything and waits until all processes are connected and have the configuration. */
    public void start() {
        logPort = log.start().await();
        vmListPort = vmList.start().await();
        engines.forEach(this::startEndpoint);
        plainServices.forEach(this::startEndpoint);
        for (Vm vm : vms) {
            Relay relay = new Relay(vertx, vm.relayedPeer(), vm.peer());
            relay.start().await();
            peerLinks.put(vm, relay);
            vmList.add(vm.listEntry());
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
     * VMs of one kind.
     *
     * @param kind kind of the endpoint, null for entry VMs
     * @return the VMs
     */
    public List<Vm> vms(@Nullable ServiceKind kind) {
        return vms.stream().filter(vm -> vm.kind() == kind).toList();
    }

    /**
     * The log.
     *
     * @return the stand-in
     */
    public LogStandIn log() {
        return log;
    }

    /**
     * The VM list.
     *
     * @return the stand-in
     */
    public VmListStandIn vmList() {
        return vmList;
    }

    /**
     * Engine of a VM.
     *
     * @param vm the VM
     * @return the stand-in
     */
    public EngineStandIn engine(Vm vm) {
        return engines.get(vm);
    }

    /**
     * Plain service of a VM.
     *
     * @param vm the VM
     * @return the stand-in
     */
    public PlainServiceStandIn plainService(Vm vm) {
        return plainServices.get(vm);
    }

    /**
     * Link from other processes to a process.
     *
     * @param vm VM of the process
     * @return the relay
     */
    public Relay peerLink(Vm vm) {
        return peerLinks.get(vm);
    }

    /**
     * Link from a sidecar to its endpoint.
     *
     * @param vm VM of the sidecar
     * @return the relay
     */
    public Relay endpointLink(Vm vm) {
        return endpointLinks.get(vm);
    }

    /**
     * Starts the process of a VM unless it runs.
     *
     * @param vm the VM
     */
    public void startProcess(Vm vm) {
        synchronized (vm) {
            if (running.containsKey(vm)) {
                return;
            }
            long incarnation = INCARNATIONS.incrementAndGet();
            Vertx own = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
            ProcessVerticle verticle = new ProcessVerticle(inner -> process(inner, vm, incarnation));
            history.add(new Event.ProcessStarted(now(), vm.name(), incarnation));
            own.deployVerticle(verticle).await();
            running.put(vm, new Running(own, verticle, incarnation));
        }
    }

    /**
     * Kills the process of a VM without a drain.
     *
     * @param vm the VM
     */
    public void kill(Vm vm) {
        synchronized (vm) {
            Running killed = running.remove(vm);
            if (killed != null) {
                history.add(new Event.ProcessEnded(now(), vm.name(), killed.incarnation()));
                killed.vertx().close().await();
            }
        }
    }

    /**
     * Stops the process of a VM gracefully.
     *
     * @param vm the VM
     */
    public void stopGracefully(Vm vm) {
        synchronized (vm) {
            Running stopped = running.get(vm);
            if (stopped != null) {
                stopped.verticle()
                        .stopGracefully()
                        .timeout(PLANNED_STOP_MILLIS, TimeUnit.MILLISECONDS)
                        .await();
                kill(vm);
            }
        }
    }

    /**
     * Settings file for the process of a VM, for a start outside this JVM.
     *
     * @param vm the VM
     * @return the document
     */
    public String settings(Vm vm) {
        String shared = "process: " + vm.name() + "\ndataCentre: " + vm.dataCentre() + "\npeer: " + yaml(vm.peer())
                + "\nadmin: " + yaml(vm.admin()) + "\nplatform:\n  log: {port: " + logPort + "}\n  vmList: {port: "
                + vmListPort + "}\n";
        return vm.kind() == null
                ? shared + "caller: " + yaml(vm.caller()) + "\nsettleMillis: 0\n"
                : shared + "service: " + vm.service() + "\nkind: "
                        + vm.kind().name().toLowerCase(Locale.ROOT) + "\nendpoint: " + yaml(vm.endpoint()) + "\n";
    }

    /**
     * Publishes entries of a section as an operator does.
     *
     * @param section the section
     * @param entries all entries of the section
     * @return how it ended
     */
    public PublishResult publish(String section, Map<String, String> entries) {
        Section wanted = Section.read(section, entries).get();
        Promise<PublishResult> promise = Promise.promise();
        vertx.getOrCreateContext()
                .runOnContext(
                        ignored -> publisher().publish(wanted, TEAM, "operator").onComplete(promise));
        PublishResult result = promise.future().await();
        if (result instanceof PublishResult.Accepted accepted) {
            history.add(new Event.ChangeAccepted(now(), section, accepted.version()));
        }
        return result;
    }

    /**
     * Takes a data centre out or brings it back, and records it.
     *
     * @param dataCentre the data centre
     * @param out whether it is taken out
     */
    public void move(String dataCentre, boolean out) {
        // A return counts from its beginning and a withdrawal from its end, since the outcome is known only then.
        long began = now();
        PublishResult result = publish("availability." + dataCentre, Map.of("dataCentre", out ? "\"out\"" : "\"in\""));
        boolean holds = result instanceof PublishResult.Accepted || result instanceof PublishResult.Unchanged;
        if (out && holds) {
            history.add(new Event.TakenOut(now(), dataCentre));
        } else if (!out && !(result instanceof PublishResult.Conflict)) {
            history.add(new Event.BroughtBack(began, dataCentre));
        }
    }

    /**
     * Number of processes that run.
     *
     * @return the number
     */
    public int processes() {
        return running.size();
    }

    /** Adds to the history what the endpoints ran. */
    public void recordWork() {
        engines.forEach((vm, engine) -> {
            for (ReceivedRequest run : engine.requests()) {
                if (run.isAccepted()) {
                    history.add(
                            new Event.WorkStarted(run.receivedAtMillis(), vm.name(), vm.dataCentre(), run.prompt()));
                }
                if (run.isCold() && coldStart.steps() > 0) {
                    history.add(new Event.LoadObserved(
                            run.receivedAtMillis(), vm.name(), run.concurrentRequests(), coldStart.coldCapacity()));
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
        // The end of the run is no end of a process for the checkers: what was due must have happened by now.
        running.values().forEach(process -> process.vertx().close().await());
        vertx.close().await();
    }

    /**
     * Waits for a condition.
     *
     * @param limitMillis longest wait in milliseconds
     * @param condition the condition
     * @return whether it came true
     */
    public static boolean await(long limitMillis, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                return false;
            }
            pause(5);
        }
        return true;
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    static long now() {
        return System.currentTimeMillis();
    }

    private ConfigurationPublisher publisher() {
        return new ConfigurationPublisher(
                new PlatformConfigurationLog(new LogClient(vertx, new Address("127.0.0.1", logPort))),
                new VertxScheduler(vertx));
    }

    private static String yaml(Address address) {
        return "{host: " + address.host() + ", port: " + address.port() + "}";
    }

    private void startEndpoint(Vm vm, StandIn endpoint) {
        int port = endpoint.start().await();
        Relay relay = new Relay(vertx, vm.endpoint(), new Address("127.0.0.1", port));
        relay.start().await();
        endpointLinks.put(vm, relay);
    }

    private ManagedProcess process(Vertx inner, Vm vm, long incarnation) {
        ProcessSettings shared = new ProcessSettings(
                vm.name(),
                vm.dataCentre(),
                vm.peer(),
                vm.admin(),
                new Address("127.0.0.1", logPort),
                new Address("127.0.0.1", vmListPort),
                RETENTION_MILLIS,
                0);
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        LogConfigurationFollower follower = ConfigurationFollowers.create(inner, vm.role(), shared, metrics);
        follower.onChange(current -> recordVersions(vm, incarnation, current));
        if (vm.kind() == null) {
            RouterSettings settings = new RouterSettings(shared, vm.caller(), REQUEST_TIMEOUT_MILLIS, 0, TIMING);
            return new RouterProcess(inner, settings, follower, metrics);
        }
        SidecarSettings settings = new SidecarSettings(
                shared, vm.service(), vm.kind(), vm.endpoint(), CONCURRENCY, EngineMemory.DEFAULT.capacityTokens());
        return new SidecarProcess(inner, settings, follower, metrics);
    }

    private void recordVersions(Vm vm, long incarnation, Configuration current) {
        List<Event> events = new ArrayList<>();
        current.sections()
                .forEach((section, version) -> events.add(
                        new Event.VersionInForce(now(), vm.name(), incarnation, section, version.version())));
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

    private record Running(Vertx vertx, ProcessVerticle verticle, long incarnation) {}
}
