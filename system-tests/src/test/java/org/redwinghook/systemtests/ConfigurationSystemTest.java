package org.redwinghook.systemtests;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.config.SectionChange;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.ProcessRole;
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
import org.redwinghook.runtime.process.ProcessVerticle;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.settings.ProcessSettings;
import org.redwinghook.sidecar.SidecarProcess;
import org.redwinghook.sidecar.SidecarSettings;
import org.redwinghook.standins.log.LogStandIn;
import org.redwinghook.standins.vmlist.VmListStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Distribution of the configuration to real processes on loopback that follow the same log. */
public final class ConfigurationSystemTest {

    private static final String HOST = "127.0.0.1";
    private static final String DATA_CENTRE = "dc-1";
    private static final long RETENTION_MILLIS = 3_600_000;
    private static final long TIMEOUT_MILLIS = 7_000;
    private static final int READY = 200;
    private static final int NOT_READY = 503;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final HttpClient client = vertx.createHttpClient();
    private LogStandIn log = new LogStandIn(vertx, 0);
    private VmListStandIn vmList = new VmListStandIn(vertx, 0, new JsonArray());
    private int logPort;
    private int vmListPort;
    private List<Vm> vms = List.of();

    @BeforeMethod
    public void startDeployment() {
        log = new LogStandIn(vertx, 0);
        vmList = new VmListStandIn(vertx, 0, new JsonArray());
        logPort = log.start().await();
        vmListPort = vmList.start().await();
        vms = List.of(
                startProcess("router-1", ProcessRole.ROUTER),
                startProcess("router-2", ProcessRole.ROUTER),
                startProcess("router-3", ProcessRole.ROUTER),
                startProcess("engine-1", ProcessRole.SIDECAR));
        JsonArray list = new JsonArray();
        vms.forEach(vm -> list.add(vm.toJson()));
        assertEquals(sendRequest(vmListPort, HttpMethod.PUT, "/vms", list.encode()), 204);
    }

    @AfterMethod(alwaysRun = true)
    public void stopDeployment() {
        List.copyOf(vertx.deploymentIDs()).forEach(id -> vertx.undeploy(id).await());
        log.stop().await();
        vmList.stop().await();
    }

    /** Guards against processes that are ready without a configuration, or that do not receive a change in time. */
    @Test
    public void allProcessesFollowTheLog() {
        assertEquals(readinessStatuses(), List.of(NOT_READY, NOT_READY, NOT_READY, NOT_READY));
        publish("owners", 0, "a", "{}");
        assertEventually("all are ready", () -> readinessStatuses().equals(List.of(READY, READY, READY, READY)));
        long version = publish("owners", 1, "b", "{}");
        assertEventually("all have applied the change", () -> vms.stream()
                .allMatch(vm -> fetchConfiguration(vm).getLong("offset") == version));
        JsonObject owners =
                fetchConfiguration(vms.get(3)).getJsonObject("sections").getJsonObject("owners");
        assertEquals(owners.encode(), "{\"version\":" + version + ",\"team\":\"ops\"}");
    }

    /** Guards against new work in a withdrawn data centre, and against one that stays withdrawn after its return. */
    @Test
    public void sidecarReadinessFollowsAvailabilityOfItsDataCentre() {
        Vm sidecar = vms.get(3);
        String section = "availability." + DATA_CENTRE;
        long inVersion = publish(section, 0, "dataCentre", "\"in\"");
        assertEventually("the sidecar is ready", () -> readinessStatus(sidecar) == READY);
        long outVersion = publish(section, inVersion, "dataCentre", "\"out\"");
        assertEventually("the sidecar is not ready", () -> readinessStatus(sidecar) == NOT_READY);
        publish(section, outVersion, "dataCentre", "\"in\"");
        assertEventually("the sidecar is ready again", () -> readinessStatus(sidecar) == READY);
    }

    /** Guards against a withdrawal that needs the log, or that reaches only the router that received it. */
    @Test
    public void withdrawalPropagatesWhileTheLogIsDown() {
        publish("owners", 0, "a", "{}");
        assertEventually("all are ready", () -> readinessStatuses().equals(List.of(READY, READY, READY, READY)));
        log.stop().await();
        JsonObject withdrawal = new JsonObject()
                .put("kind", "dataCentre")
                .put("name", DATA_CENTRE)
                .put("basedOn", 0);
        assertEquals(sendRequest(vms.get(0), HttpMethod.POST, "/withdrawals", withdrawal.encode()), 202);
        assertEquals(sendRequest(vms.get(0), HttpMethod.POST, "/withdrawals", "{\"kind\": \"planet\"}"), 400);
        assertEventually("the sidecar is not ready", () -> readinessStatus(vms.get(3)) == NOT_READY);
        assertEventually("all processes have the withdrawal", () -> vms.stream()
                .allMatch(
                        vm -> fetchConfiguration(vm).getJsonArray("withdrawals").size() == 1));
        assertEquals(readinessStatuses().subList(0, 3), List.of(READY, READY, READY));
    }

    /** Guards against a process that cannot start while the log is down. */
    @Test
    public void routerStartsFromItsPeersWhileTheLogIsDown() {
        long version = publish("owners", 0, "a", "{}");
        assertEventually("all are ready", () -> readinessStatuses().equals(List.of(READY, READY, READY, READY)));
        log.stop().await();
        Vm lateRouter = startProcess("router-4", ProcessRole.ROUTER);
        assertEventually("the late router is ready", () -> readinessStatus(lateRouter) == READY);
        assertEquals((long) fetchConfiguration(lateRouter).getLong("offset"), version);
    }

    /** Starts a process on ephemeral ports. */
    private Vm startProcess(String name, ProcessRole role) {
        Address ephemeralAddress = new Address(HOST, 0);
        ProcessSettings sharedSettings = new ProcessSettings(
                name,
                DATA_CENTRE,
                ephemeralAddress,
                ephemeralAddress,
                new Address(HOST, logPort),
                new Address(HOST, vmListPort),
                RETENTION_MILLIS,
                0);
        AtomicReference<Vm> startedVm = new AtomicReference<>();
        vertx.deployVerticle(new ProcessVerticle(processVertx -> {
                    PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
                    LogConfigurationFollower follower =
                            ConfigurationFollowers.create(processVertx, role, sharedSettings, metrics);
                    if (role == ProcessRole.ROUTER) {
                        RouterSettings settings =
                                new RouterSettings(sharedSettings, ephemeralAddress, 1_000, 0, DeliveryTiming.DEFAULT);
                        RouterProcess router = new RouterProcess(processVertx, settings, follower, metrics);
                        startedVm.set(new Vm(name, role, router::peerPort, router::adminPort));
                        return router;
                    }
                    Address noEngine = new Address(HOST, vmListPort);
                    SidecarSettings settings =
                            new SidecarSettings(sharedSettings, "copy", ServiceKind.ENGINE, noEngine, 4, 0);
                    SidecarProcess sidecar = new SidecarProcess(processVertx, settings, follower, metrics);
                    startedVm.set(new Vm(name, role, sidecar::peerPort, sidecar::adminPort));
                    return sidecar;
                }))
                .await();
        return startedVm.get();
    }

    // Outside an event loop, a client may miss a body that arrives before its handler is set.
    private <T> T runOnEventLoop(Supplier<Future<T>> action) {
        Promise<T> promise = Promise.promise();
        context.runOnContext(ignored -> action.get().onComplete(promise));
        return promise.future().timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).await();
    }

    private long publish(String section, long replaces, String entry, String text) {
        ConfigurationPublisher publisher = new ConfigurationPublisher(
                new PlatformConfigurationLog(new LogClient(vertx, new Address(HOST, logPort))),
                new VertxScheduler(vertx));
        SectionChange change = new SectionChange(
                section, "ops", replaces, section + replaces, "author", Map.of(entry, text), List.of());
        PublishResult result = runOnEventLoop(() -> publisher.publish(change));
        assertTrue(result instanceof PublishResult.Accepted, String.valueOf(result));
        return ((PublishResult.Accepted) result).version();
    }

    private List<Integer> readinessStatuses() {
        return vms.stream().map(this::readinessStatus).toList();
    }

    private int readinessStatus(Vm vm) {
        return sendRequest(vm, HttpMethod.GET, "/ready", "");
    }

    private int sendRequest(Vm vm, HttpMethod method, String path, String body) {
        return sendRequest(vm.adminPort().getAsInt(), method, path, body);
    }

    private int sendRequest(int port, HttpMethod method, String path, String body) {
        return runOnEventLoop(() -> client.request(method, port, HOST, path)
                .compose(request -> request.send(body))
                .compose(response -> response.body().map(ignored -> response.statusCode())));
    }

    private JsonObject fetchConfiguration(Vm vm) {
        return runOnEventLoop(
                () -> client.request(HttpMethod.GET, vm.adminPort().getAsInt(), HOST, "/configuration")
                        .compose(request -> request.send())
                        .compose(HttpClientResponse::body)
                        .map(JsonObject::new));
    }

    private static void assertEventually(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (!condition.getAsBoolean()) {
            assertTrue(System.nanoTime() < deadlineNanos, "not within " + TIMEOUT_MILLIS + " ms: " + description);
            try {
                Thread.sleep(20);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private record Vm(String name, ProcessRole role, IntSupplier peerPort, IntSupplier adminPort) {

        JsonObject toJson() {
            return new JsonObject()
                    .put("vm", name)
                    .put("dataCentre", DATA_CENTRE)
                    .put("role", role == ProcessRole.ROUTER ? "router" : "sidecar")
                    .put("host", HOST)
                    .put("peerPort", peerPort.getAsInt())
                    .put("adminPort", adminPort.getAsInt())
                    .put("service", role == ProcessRole.SIDECAR ? "copy" : null);
        }
    }
}
