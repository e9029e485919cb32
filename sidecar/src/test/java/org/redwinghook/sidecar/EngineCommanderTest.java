package org.redwinghook.sidecar;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.admission.AdmissionSettings;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.config.Rules;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.core.config.Service;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.length.LearnedLengths;
import org.redwinghook.runtime.config.FixedConfigurationSource;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.sidecar.engine.CommandMetrics;
import org.redwinghook.sidecar.engine.CommanderTimings;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.engine.EngineCommander;
import org.redwinghook.sidecar.peer.ConfiguredShares;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.redwinghook.standins.engine.ColdStart;
import org.redwinghook.standins.engine.EngineMemory;
import org.redwinghook.standins.engine.EngineReporting;
import org.redwinghook.standins.engine.EngineSettings;
import org.redwinghook.standins.engine.EngineStandIn;
import org.redwinghook.standins.engine.EngineTiming;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public final class EngineCommanderTest {

    private static final long CONFIRMATION_INTERVAL_MILLIS = 10;
    private static final long LONG_TIMEOUT_MILLIS = 5_000;

    private Vertx vertx;
    private Context eventLoop;
    private SimpleMeterRegistry metrics;
    private EngineStandIn engine;
    private EndpointGate gate;
    private EngineCommander commander;
    private HttpClient httpClient;
    private int port;
    private volatile Configuration configuration;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        httpClient = vertx.createHttpClient();
        metrics = new SimpleMeterRegistry();
    }

    @AfterMethod
    public void close() {
        runOnEventLoop(commander::stop);
        vertx.close().await();
    }

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{true}, {false}};
    }

    /** Guards against repeated commands after lost answers: an effect after the timeout is detected before a repeat. */
    @Test
    public void effectsOfLostAnswersAreDetected() {
        startEngine(150, true);
        setDesiredEngine(3, new DesiredEngine("", "v2", List.of("a"), "", false));
        startCommander(50);
        Await.until("both loads", () -> engine.state().adapters().contains("a"));
        assertEquals(engine.state().version(), "v2");
        Await.until("as desired", () -> commander.state().toString().contains("AS_DESIRED"));
        assertEquals(count("sent"), 2);
        assertEquals(count("failed"), 2);
    }

    /**
     * Guards against an engine state that stays at an old command which arrived after a newer one.
     *
     * @param checksFencing whether the engine refuses old fencing numbers
     */
    @Test(dataProvider = "engines")
    public void newerVersionIsRestoredAfterLateOldCommand(boolean checksFencing) {
        startEngine(1, checksFencing);
        setDesiredEngine(5, desiredVersion("new"));
        startCommander(LONG_TIMEOUT_MILLIS);
        Await.until("new version", () -> "new".equals(engine.state().version()));
        assertEquals(post("old", 4), checksFencing ? 409 : 200);
        Await.until("new version again", () -> "new".equals(engine.state().version()));
        Await.until("repeat", () -> count("sent") == (checksFencing ? 1 : 2));
    }

    /**
     * Guards against a sidecar with an old desired state, as after a pause, that changes an engine with a newer one.
     *
     * @param checksFencing whether the engine refuses old fencing numbers
     */
    @Test(dataProvider = "engines")
    public void oldDesiredStateIsHeldBack(boolean checksFencing) {
        startEngine(1, checksFencing);
        post("new", 9);
        setDesiredEngine(5, desiredVersion("old"));
        startCommander(LONG_TIMEOUT_MILLIS);
        Await.until("hold", () -> commander.state().toString().contains("NEWER_COMMAND_APPLIED"));
        assertEquals(count("sent"), 0);
        setDesiredEngine(10, desiredVersion("newest"));
        Await.until("newest version", () -> "newest".equals(engine.state().version()));
    }

    /** Guards against treating the refusal of an old fencing number as success while a newer command is loading. */
    @Test
    public void refusalIsCountedAndNotRepeated() {
        startEngine(400, true);
        setDesiredEngine(5, desiredVersion("old"));
        vertx.runOnContext(ignored -> send("new", 9));
        Await.pause(100);
        startCommander(LONG_TIMEOUT_MILLIS);
        Await.until("refusal", () -> count("refused") == 1);
        Await.until("hold", () -> commander.state().toString().contains("NEWER_COMMAND_APPLIED"));
        assertEquals(engine.state().version(), "new");
        assertEquals(count("sent"), 1);
    }

    /** Guards against an engine that stays without its version after a restart, also one during a command. */
    @Test
    public void restartedEngineReceivesDesiredStateAgain() {
        startEngine(100, true);
        setDesiredEngine(5, desiredVersion("v"));
        startCommander(500);
        Await.until("first command", () -> count("sent") == 1);
        engine.crash(50).await();
        Await.until("version after a crash in a command", () -> "v"
                .equals(engine.state().version()));
        engine.crash(50).await();
        assertEquals(engine.state().version(), "");
        Await.until("version after a crash", () -> "v".equals(engine.state().version()));
    }

    /** Guards against new work on the old version if the change requires a drain, and against endless refusals. */
    @Test
    public void newWorkIsRefusedWhileTheVersionDiffers() {
        startEngine(300, true);
        setDesiredEngine(5, desiredVersion("v"));
        startCommander(LONG_TIMEOUT_MILLIS);
        Await.until("first version, without a refusal", () -> "v"
                .equals(engine.state().version()));
        runOnEventLoop(() -> gate.offer(item(1), started -> {}, detail -> Assert.fail(detail)));
        setDesiredEngine(6, new DesiredEngine("", "w", List.of(), "", true));
        Await.until("refusal", () -> !gate.load().accepting());
        List<String> refused = new CopyOnWriteArrayList<>();
        runOnEventLoop(() -> gate.offer(item(2), started -> Assert.fail("started"), refused::add));
        assertEquals(refused, List.of("the engine has another model version than desired"));
        Await.until("drain", () -> commander.state().toString().contains("DRAINING"));
        assertEquals(count("sent"), 1);
        runOnEventLoop(() -> gate.recordEnd(1, true));
        Await.until("version", () -> "w".equals(engine.state().version()));
        Await.until("new work", () -> gate.load().accepting());
    }

    private static DesiredEngine desiredVersion(String version) {
        return new DesiredEngine("", version, List.of(), "", false);
    }

    private void startEngine(long commandMillis, boolean checksFencing) {
        engine = new EngineStandIn(
                vertx,
                0,
                new EngineSettings(
                        1,
                        10,
                        EngineTiming.FAST,
                        EngineMemory.DEFAULT,
                        ColdStart.NONE,
                        EngineReporting.IMMEDIATE,
                        1_000,
                        50,
                        commandMillis,
                        checksFencing));
        port = engine.start().await();
    }

    private void setDesiredEngine(long offset, DesiredEngine desired) {
        Service service = new Service("s", ServiceKind.ENGINE, "o", 100, true, 4, desired, List.of());
        configuration = new Configuration(
                offset,
                Map.of(),
                Map.of(),
                Map.of("s", service),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Rules.DEFAULT,
                Map.of("services", new SectionVersion(offset, "team")));
    }

    private void startCommander(long timeoutMillis) {
        ChangingConfiguration source =
                new ChangingConfiguration(vertx, CONFIRMATION_INTERVAL_MILLIS, () -> configuration);
        AdmissionController admission = new AdmissionController(
                new AdmissionSettings(4, 0, 64),
                new LearnedLengths(64),
                new ConfiguredShares(new FixedConfigurationSource(Configuration.EMPTY)));
        gate = new EndpointGate(vertx, admission);
        commander = new EngineCommander(
                new EngineClient(vertx, new Address("127.0.0.1", port)),
                "s",
                source,
                gate,
                ignored -> OptionalInt.of(0),
                new CommanderTimings(20, timeoutMillis, 1_000),
                new CommandMetrics(metrics));
        eventLoop = vertx.getOrCreateContext();
        runOnEventLoop(() -> commander.start(vertx));
    }

    private static WorkItem item(long identifier) {
        long now = EndpointGate.nowMillis();
        return new WorkItem(identifier, "o", "c", 1, 1, 1, now, now + LONG_TIMEOUT_MILLIS);
    }

    private void runOnEventLoop(Runnable action) {
        Promise<Void> done = Promise.promise();
        eventLoop.runOnContext(ignored -> {
            action.run();
            done.complete();
        });
        done.future().await();
    }

    private int post(String version, long fencing) {
        return send(version, fencing).await().statusCode();
    }

    private Future<HttpClientResponse> send(String version, long fencing) {
        JsonObject command = new JsonObject()
                .put("kind", "load-version")
                .put("name", version)
                .put("fencing", fencing);
        return httpClient
                .request(HttpMethod.POST, port, "127.0.0.1", "/commands")
                .compose(request -> request.send(command.toBuffer()));
    }

    private int count(String name) {
        return (int) metrics.counter("redwinghook.engine.commands." + name).count();
    }
}
