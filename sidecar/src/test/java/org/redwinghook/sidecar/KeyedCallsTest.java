package org.redwinghook.sidecar;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.once.StoredAnswer;
import org.redwinghook.standins.vmlist.VmListStandIn;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests with real sidecars that keyed calls run at most once and that their outcomes are reported correctly. */
public class KeyedCallsTest {

    private static final long LONG_TIMEOUT_MILLIS = 8_000;

    private final List<SidecarUnderTest> sidecars = new ArrayList<>();
    private Vertx vertx;
    private FaultyLog log;
    private FaultyService service;
    private JsonArray vms;
    private int vmListPort;

    @BeforeMethod
    public void start() {
        vertx = Vertx.vertx();
        log = new FaultyLog(vertx);
        service = new FaultyService(vertx, 0);
        vms = new JsonArray();
        vmListPort = new VmListStandIn(vertx, 0, vms).start().await();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        sidecars.forEach(SidecarUnderTest::kill);
        sidecars.clear();
        vertx.close().await();
    }

    private SidecarUnderTest sidecar(String name) {
        SidecarUnderTest sidecar =
                new SidecarUnderTest(name, ServiceKind.PLAIN, service.port(), log.port(), vmListPort, 60_000, 0);
        sidecars.add(sidecar);
        vms.add(new JsonObject()
                .put("vm", name)
                .put("dataCentre", "dc")
                .put("role", "sidecar")
                .put("host", "127.0.0.1")
                .put("peerPort", sidecar.peerPort())
                .put("adminPort", sidecar.adminPort())
                .put("service", SidecarUnderTest.SERVICE));
        return sidecar;
    }

    private RouterClient router(SidecarUnderTest sidecar) {
        return new RouterClient(vertx, sidecar.peerPort());
    }

    private Message retry(RouterClient router, String key) {
        router.sendCall(99, key, "body", LONG_TIMEOUT_MILLIS);
        return router.next();
    }

    /** Guards against a second effect when a sidecar is killed after its intent: the call may have been sent. */
    @Test
    public void killAfterIntentAndBeforeCallIsUnknown() {
        SidecarUnderTest first = sidecar("a");
        log.setMode(FaultyLog.Mode.HANG);
        router(first).sendCall(1, "k", "body", LONG_TIMEOUT_MILLIS);
        Await.until("intent", () -> log.records() == 1);
        first.kill();
        log.setMode(FaultyLog.Mode.NORMAL);
        Assert.assertTrue(retry(router(sidecar("b")), "k") instanceof OutcomeUnknown);
        Assert.assertEquals(service.effects(), 0);
    }

    /** Guards against a second effect when a sidecar is killed after the call and before its outcome. */
    @Test
    public void killAfterCallAndBeforeOutcomeIsUnknown() {
        SidecarUnderTest first = sidecar("a");
        service.setMode(FaultyService.Mode.HOLD);
        router(first).sendCall(1, "k", "body", LONG_TIMEOUT_MILLIS);
        Await.until("call", () -> service.effects() == 1);
        first.kill();
        service.release();
        Assert.assertTrue(retry(router(sidecar("b")), "k") instanceof OutcomeUnknown);
        Assert.assertTrue(retry(router(sidecar("a")), "k") instanceof OutcomeUnknown, "restarted sidecar");
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against an answer that is lost with its sidecar although its outcome is on the log. */
    @Test
    public void restartedSidecarReplaysTheStoredAnswer() {
        SidecarUnderTest first = sidecar("a");
        RouterClient router = router(first);
        router.sendCall(1, "k", "body", LONG_TIMEOUT_MILLIS);
        Assert.assertFalse(router.next(CallAnswer.class).replayed());
        Await.until("outcome", () -> log.contains("DONE"));
        first.kill();
        CallAnswer replay = (CallAnswer) retry(router(sidecar("b")), "k");
        Assert.assertTrue(replay.replayed());
        Assert.assertEquals(new String(replay.body()), "effect");
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against a second intent, or a false refusal, when only the answer of an append is lost. */
    @Test
    public void lostAppendAnswerIsReadBack() {
        log.setMode(FaultyLog.Mode.LOSE_ANSWER);
        Assert.assertTrue(retry(router(sidecar("a")), "k") instanceof CallAnswer);
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against a run after "not run" was reported, and against a key that stays blocked by the late intent. */
    @Test
    public void lateAppendAfterNotRunIsNeverRun() {
        log.setMode(FaultyLog.Mode.DELAY);
        RouterClient router = router(sidecar("a"));
        router.sendCall(1, "k", "body", 200);
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.OVERLOADED);
        log.setMode(FaultyLog.Mode.NORMAL);
        // The first sidecar does not read the log again by itself, so the second one must find the intent.
        Await.pause(100);
        log.appendDelayed();
        RouterClient otherRouter = router(sidecar("b"));
        int refusals = 0;
        while (retry(otherRouter, "k") instanceof Refused) {
            Assert.assertEquals(service.effects(), 0);
            refusals++;
            Assert.assertTrue(refusals < 200, "the key stays blocked");
            Await.pause(10);
        }
        Assert.assertTrue(refusals > 0, "the late intent was not seen");
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against two effects when one key is sent through two sidecars, and against a caller without an answer. */
    @Test
    public void racingSidecarsRunAKeyOnce() {
        RouterClient first = router(sidecar("a"));
        RouterClient second = router(sidecar("b"));
        for (int round = 1; round <= 30; round++) {
            first.sendCall(round, "k" + round, "body", LONG_TIMEOUT_MILLIS);
            second.sendCall(round, "k" + round, "body", LONG_TIMEOUT_MILLIS);
            boolean firstReplayed = first.next(CallAnswer.class).replayed();
            boolean secondReplayed = second.next(CallAnswer.class).replayed();
            Assert.assertTrue(firstReplayed ^ secondReplayed, "round " + round);
            Assert.assertEquals(service.effects(), round);
        }
    }

    /** Guards against a second effect while a call runs: retries at this and another sidecar wait for its answer. */
    @Test
    public void retriesJoinTheRunningCall() {
        SidecarUnderTest winner = sidecar("a");
        RouterClient router = router(winner);
        RouterClient otherRouter = router(sidecar("b"));
        service.setMode(FaultyService.Mode.HOLD);
        router.sendCall(1, "k", "body", LONG_TIMEOUT_MILLIS);
        Await.until("call", () -> service.effects() == 1);
        router.sendCall(2, "k", "body", LONG_TIMEOUT_MILLIS);
        otherRouter.sendCall(1, "k", "body", LONG_TIMEOUT_MILLIS);
        otherRouter.sendCall(2, "k", "body", 150);
        Assert.assertEquals(otherRouter.next(OutcomeUnknown.class).exchange(), 2);
        service.release();
        Assert.assertFalse(router.next(CallAnswer.class).replayed());
        Assert.assertTrue(router.next(CallAnswer.class).replayed());
        Assert.assertTrue(otherRouter.next(CallAnswer.class).replayed());
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against keyed calls that run without the log, and against other calls that fail during its outage. */
    @Test
    public void logDownRefusesKeyedCallsOnly() {
        RouterClient router = router(sidecar("a"));
        log.setMode(FaultyLog.Mode.DOWN);
        router.sendCall(1, "k", "body", LONG_TIMEOUT_MILLIS);
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.LOG_UNAVAILABLE);
        Assert.assertEquals(service.effects(), 0);
        router.sendCall(2, null, "body", LONG_TIMEOUT_MILLIS);
        router.next(CallAnswer.class);
        log.setMode(FaultyLog.Mode.NORMAL);
        Await.until("recovery", () -> retry(router, "k") instanceof CallAnswer);
        Assert.assertEquals(service.effects(), 2);
    }

    /** Guards against a repeated call, or a false "not run", after the endpoint fails during the call. */
    @Test
    public void endpointKilledInTheCallIsUnknown() {
        RouterClient router = router(sidecar("a"));
        service.setMode(FaultyService.Mode.BREAK);
        Assert.assertTrue(retry(router, "k") instanceof OutcomeUnknown);
        service.setMode(FaultyService.Mode.ANSWER);
        Assert.assertTrue(retry(router, "k") instanceof OutcomeUnknown);
        Assert.assertTrue(retry(router(sidecar("b")), "k") instanceof OutcomeUnknown);
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against a key that stays claimed although no byte was sent to the endpoint. */
    @Test
    public void refusedConnectionFreesTheKey() {
        RouterClient router = router(sidecar("a"));
        int port = service.port();
        service.stop();
        Assert.assertEquals(((Refused) retry(router, "k")).reason(), RefusalReason.ENDPOINT_DOWN);
        service = new FaultyService(vertx, port);
        Await.until("free key", () -> retry(router, "k") instanceof CallAnswer);
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against log records of unbounded size, and against a second run because the answer was not stored. */
    @Test
    public void largeAnswerIsGivenOnceAndNotStored() {
        RouterClient router = router(sidecar("a"));
        String large = "x".repeat(StoredAnswer.MAXIMUM_BODY_BYTES + 1);
        service.setAnswer(large);
        Assert.assertEquals(((CallAnswer) retry(router, "k")).body().length, large.length());
        Await.until("outcome", () -> log.contains("DONE"));
        Assert.assertFalse(log.contains("body"));
        Assert.assertTrue(retry(router, "k") instanceof OutcomeUnknown);
        Assert.assertTrue(retry(router(sidecar("b")), "k") instanceof OutcomeUnknown);
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against answering one request with another's answer, and against calls with expired keys that run. */
    @Test
    public void reusedAndExpiredKeysRunNothing() {
        RouterClient router = router(sidecar("a"));
        Assert.assertTrue(retry(router, "k") instanceof CallAnswer);
        router.sendCall(2, "k", "another body", LONG_TIMEOUT_MILLIS);
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.KEY_REUSED);
        Assert.assertTrue(retry(router, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f") instanceof OutcomeUnknown);
        Assert.assertEquals(service.effects(), 1);
    }

    /** Guards against a call that crosses the notice of a stop, is dropped with the connection and ends as unknown. */
    @Test
    public void callThatCrossesTheStopNoticeIsRefusedAsNotRun() {
        SidecarUnderTest sidecar = sidecar("a");
        RouterClient router = router(sidecar);
        router.sendHello();
        Await.until("the first load", () -> router.isAcceptingReportedAs(true));
        Future<Void> stopped = sidecar.stopGracefully();
        Await.pause(200);
        router.sendCall(1, null, "body", LONG_TIMEOUT_MILLIS);
        router.sendCall(2, "k", "body", LONG_TIMEOUT_MILLIS);
        router.confirmLeaving();
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.LEAVING);
        Assert.assertEquals(router.next(Refused.class).reason(), RefusalReason.LEAVING);
        stopped.await();
        Assert.assertEquals(service.effects(), 0);
    }

    /** Guards against a stop that waits forever for a router that does not confirm the notice. */
    @Test(timeOut = 20_000)
    public void stopDoesNotWaitForeverForASilentRouter() {
        SidecarUnderTest sidecar = sidecar("a");
        RouterClient router = router(sidecar);
        router.sendHello();
        Await.until("the first load", () -> router.isAcceptingReportedAs(true));
        sidecar.stopGracefully().await();
    }

    /** Guards against a graceful stop that interrupts a keyed call or does not write its outcome to the log. */
    @Test
    public void gracefulStopFinishesCallsAndFlushesOutcomes() {
        SidecarUnderTest sidecar = sidecar("a");
        RouterClient router = router(sidecar);
        service.setMode(FaultyService.Mode.HOLD);
        router.sendCall(1, "k", "body", LONG_TIMEOUT_MILLIS);
        Await.until("call", () -> service.effects() == 1);
        Future<Void> stopped = sidecar.stopGracefully();
        Await.pause(50);
        Assert.assertFalse(stopped.isComplete());
        service.release();
        router.next(CallAnswer.class);
        stopped.await();
        Assert.assertTrue(log.contains("DONE"));
    }
}
