package org.redwinghook.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.Cancel;
import org.redwinghook.core.message.Credit;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Interrupted;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Resume;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.LivenessMonitor;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerServer;
import org.redwinghook.runtime.wire.WireMetrics;
import org.redwinghook.sidecar.engine.EngineClient;
import org.redwinghook.sidecar.engine.LoadMonitor;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests with a real sidecar that streams neither lose nor repeat tokens and that they end correctly. */
public class StreamsTest {

    private static final int TOKENS = 12;
    private static final int UNUSED_PORT = 1;
    private static final long RESUME_WINDOW_MILLIS = 150;

    private Vertx vertx;
    private ScriptedEngine engine;
    private SidecarUnderTest sidecar;
    private HttpClient admin;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        admin = vertx.createHttpClient();
        engine = new ScriptedEngine(vertx, TOKENS, 0);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        if (sidecar != null) {
            sidecar.kill();
        }
        vertx.close().await();
    }

    private RouterClient router(long resumeWindowMillis, long drainTimeoutMillis) {
        sidecar = new SidecarUnderTest(
                "e",
                ServiceKind.ENGINE,
                engine.port(),
                UNUSED_PORT,
                UNUSED_PORT,
                resumeWindowMillis,
                drainTimeoutMillis);
        return new RouterClient(vertx, sidecar.peerPort());
    }

    private JsonObject state() {
        // A body that is asked for on another thread than the event loop may have arrived already, and never does then.
        Promise<JsonObject> generations = Promise.promise();
        vertx.runOnContext(ignored -> admin.request(HttpMethod.GET, sidecar.adminPort(), "127.0.0.1", "/state")
                .compose(request -> request.send())
                .compose(response -> response.body())
                .map(body -> new JsonObject(body).getJsonObject("generations"))
                .onComplete(generations));
        return generations.future().await();
    }

    /** Receives tokens up to a sequence number and checks that their sequence numbers are consecutive. */
    private static List<String> collect(RouterClient router, long after, long last) {
        List<String> texts = new ArrayList<>();
        while (after + texts.size() < last) {
            Tokens tokens = router.next(Tokens.class);
            Assert.assertEquals(tokens.firstSequence(), after + texts.size() + 1);
            texts.addAll(tokens.texts());
        }
        return texts;
    }

    private static List<String> words(int first, int last) {
        List<String> words = new ArrayList<>();
        for (int number = first; number <= last; number++) {
            words.add("t" + number + " ");
        }
        return words;
    }

    private static Resume resume(long exchange, Accepted accepted, long after) {
        return new Resume(exchange, accepted.generation(), after, "yoga", 256);
    }

    /** Guards against lost or repeated tokens when the router's connection is cut in the middle of a stream. */
    @Test
    public void cutConnectionIsResumed() {
        RouterClient router = router(60_000, 0);
        router.sendGeneration(1, 3);
        Accepted accepted = router.next(Accepted.class);
        engine.allow(7);
        Assert.assertEquals(collect(router, 0, 3), words(1, 3));
        router.close();
        engine.allow(TOKENS);
        RouterClient resumedRouter = new RouterClient(vertx, sidecar.peerPort());
        resumedRouter.send(resume(5, accepted, 2));
        Assert.assertEquals(resumedRouter.next(Accepted.class).generation(), accepted.generation());
        Assert.assertEquals(collect(resumedRouter, 2, TOKENS), words(3, TOKENS));
        Assert.assertEquals(resumedRouter.next(Finished.class).lastSequence(), TOKENS);
        resumedRouter.send(new Resume(6, accepted.generation(), 0, "another customer", 256));
        Assert.assertEquals(resumedRouter.next(Refused.class).reason(), RefusalReason.UNKNOWN_GENERATION);
    }

    /** Guards against an interruption after a connection failure although the engine still has the generation. */
    @Test
    public void brokenEngineStreamIsReopened() {
        RouterClient router = router(60_000, 0);
        engine.cutAfter(4, false);
        engine.allow(TOKENS);
        router.sendGeneration(1, 256);
        router.next(Accepted.class);
        Assert.assertEquals(collect(router, 0, TOKENS), words(1, TOKENS));
        router.next(Finished.class);
    }

    /** Guards against a generation that is restarted, or hangs, when the engine no longer has it. */
    @Test
    public void forgottenGenerationIsInterrupted() {
        RouterClient router = router(60_000, 0);
        engine.cutAfter(4, true);
        engine.allow(TOKENS);
        router.sendGeneration(1, 256);
        router.next(Accepted.class);
        Assert.assertEquals(collect(router, 0, 4), words(1, 4));
        Assert.assertEquals(router.next(Interrupted.class).lastSequence(), 4);
    }

    /** Guards against an exception on the event loop that leaves the router without an end. */
    @Test
    public void malformedEventInterruptsTheGeneration() {
        RouterClient router = router(60_000, 0);
        engine.sendMalformedEvents();
        engine.allow(TOKENS);
        router.sendGeneration(1, 256);
        router.next(Accepted.class);
        Assert.assertTrue(router.next(Interrupted.class).detail().contains("malformed"));
    }

    /** Guards against "accepted" for a generation that was never sent to the engine. */
    @Test
    public void refusedConnectionIsNotAccepted() {
        RouterClient router = router(60_000, 0);
        engine.stop();
        router.sendGeneration(1, 256);
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.ENDPOINT_DOWN);
        Assert.assertEquals(state().getJsonObject("stages"), new JsonObject());
    }

    /** Guards against finished generations that stay in memory because their router's connection stays open. */
    @Test
    public void deliveredGenerationIsRemovedAfterTheResumeWindow() {
        RouterClient router = router(RESUME_WINDOW_MILLIS, 0);
        engine.allow(TOKENS);
        router.sendGeneration(1, 256);
        Accepted accepted = router.next(Accepted.class);
        collect(router, 0, TOKENS);
        router.next(Finished.class);
        Await.until("removal", () -> state().getJsonObject("stages").isEmpty());
        Assert.assertEquals(state().getLong("characters"), 0L);
        router.send(resume(2, accepted, 0));
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.UNKNOWN_GENERATION);
    }

    /** Guards against engine memory that is held for callers that do not return. */
    @Test
    public void generationWithoutSubscriptionIsCancelledAfterTheResumeWindow() {
        RouterClient router = router(RESUME_WINDOW_MILLIS, 0);
        router.sendGeneration(1, 256);
        router.next(Accepted.class);
        router.send(new Cancel(1, true));
        Await.until("cancellation", () -> engine.cancelled() == 1);
        Await.until("removal", () -> state().getJsonObject("stages").isEmpty());
        sidecar.stopGracefully().await();
    }

    /** Guards against memory that grows with the engine's output while a caller is slow, and against lost tokens. */
    @Test
    public void memoryIsBoundedAndPausesLoseNoTokens() {
        int tokenCount = 3_000;
        engine = new ScriptedEngine(vertx, tokenCount, 8_000);
        RouterClient router = router(60_000, 0);
        router.sendGeneration(1, 1);
        router.next(Accepted.class);
        engine.allow(tokenCount);
        Await.until("pause", () -> state().getLong("paused") == 1);
        Await.pause(200);
        Assert.assertTrue(state().getLong("characters") < 6_000_000, state().encode());
        Assert.assertTrue(engine.writtenTokens() < tokenCount, "the engine was read to its end");
        router.send(new Credit(1, 0, tokenCount));
        Assert.assertEquals(collect(router, 0, tokenCount).size(), tokenCount);
        router.next(Finished.class);
    }

    /** Guards against routers that send work to a leaving endpoint until its next heartbeat. */
    @Test
    public void routersAreNotifiedAtOnceWhenTheEndpointLeaves() {
        RouterClient router = router(60_000, 0);
        router.sendHello();
        Await.until("the first load", () -> router.isAcceptingReportedAs(true));
        router.sendGeneration(1, 256);
        router.next(Accepted.class);
        long start = System.nanoTime();
        sidecar.stopGracefully();
        Await.until("the notice", () -> router.isAcceptingReportedAs(false));
        // Heartbeats are sent every 5 s; the notification must not wait for the next one.
        Assert.assertTrue(System.nanoTime() - start < 2_000_000_000L);
        engine.allow(TOKENS);
    }

    /** Guards against a graceful stop that drops tokens which a slow caller has not received yet. */
    @Test
    public void gracefulStopWaitsForASlowSubscriber() {
        RouterClient router = router(60_000, 0);
        router.sendGeneration(1, 2);
        router.next(Accepted.class);
        Future<Void> stopped = sidecar.stopGracefully();
        engine.allow(TOKENS);
        Assert.assertEquals(collect(router, 0, 2), words(1, 2));
        Await.until(
                "end of the generation", () -> state().getJsonObject("stages").containsKey("FINISHED"));
        router.sendGeneration(2, 2);
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.LEAVING);
        Assert.assertFalse(stopped.isComplete());
        router.send(new Credit(1, 2, 256));
        Assert.assertEquals(collect(router, 2, TOKENS), words(3, TOKENS));
        router.next(Finished.class);
        stopped.await();
    }

    /** Guards against a graceful stop that ignores the drain timeout. */
    @Test
    public void drainTimeoutLimitsTheStop() {
        RouterClient router = router(60_000, 100);
        router.sendGeneration(1, 2);
        router.next(Accepted.class);
        sidecar.stopGracefully().await();
    }

    /** Guards against an endpoint that is treated as warm after a restart or while it is down. */
    @Test
    public void engineRestartIsDetected() {
        List<String> events = new ArrayList<>();
        LoadMonitor monitor =
                new LoadMonitor(vertx, new EngineClient(vertx, new Address("127.0.0.1", engine.port())), 50, () -> {
                    synchronized (events) {
                        events.add("restart");
                    }
                });
        Await.until("report", () -> monitor.latestReport() != null);
        Assert.assertEquals(events.size(), 0);
        engine.restart();
        Await.until("restart", () -> events.size() == 1);
        engine.stop();
        Await.until("refused connection", () -> events.size() == 2);
        Await.pause(200);
        Assert.assertEquals(events.size(), 2);
    }

    /** Guards against connections over a stalled link that stay open, and against live ones that are closed. */
    @Test
    public void silentConnectionIsClosed() {
        WireMetrics metrics = new WireMetrics(new SimpleMeterRegistry());
        List<PeerConnection> accepted = new ArrayList<>();
        PeerServer server =
                new PeerServer(vertx, new Address("127.0.0.1", 0), new FrameCodec(), metrics, connection -> {
                    new LivenessMonitor(vertx, connection, () -> new Heartbeat(0, null), 50, 200);
                    accepted.add(connection);
                });
        int port = server.start().await();
        RouterClient silent = new RouterClient(vertx, port);
        Await.until("connection", () -> accepted.size() == 1);
        RouterClient live = new RouterClient(vertx, port);
        Await.until("connection", () -> accepted.size() == 2);
        Message heartbeat = new Heartbeat(0, null);
        Await.until("close", () -> {
            live.send(heartbeat);
            return !accepted.get(0).isOpen();
        });
        Assert.assertTrue(accepted.get(1).isOpen());
        silent.close();
    }
}
