package org.redwinghook.router;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.Future;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.Submit;
import org.redwinghook.router.FakeSidecar.ReceivedMessage;
import org.redwinghook.router.RouterFixture.RunningRouter;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against requests interrupted by a graceful shutdown, and against lost usage counts. */
public class ShutdownTest extends RouterTestCase {

    private static final long CALLER_PAUSE_MILLIS = 300;

    /** Longer than callers wait in tests. */
    private static final long LONG_SETTLE_MILLIS = 60_000;

    /** Guards against a listener that closes before the load balancer notices, truncated streams and lost counts. */
    @Test
    public void drainsInSteps() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(200, 0));
        CompletableFuture<HttpResponse<String>> before = router.complete(true);
        ReceivedMessage<Submit> first = acceptWithTokens(1);
        Future<Void> stopped = router.verticle.stopGracefully();
        RouterFixture.eventually(() -> router.status("/ready") == 503);
        CompletableFuture<HttpResponse<String>> settling = router.complete(true);
        ReceivedMessage<Submit> second = acceptWithTokens(1);
        RouterFixture.eventually(() -> Answers.await(router.get("/v2/other")).statusCode() == 503);
        HttpResponse<String> refused = Answers.await(router.complete(true));
        Assert.assertEquals(Answers.outcome(refused), "not-run");
        Assert.assertEquals(Answers.errorType(refused), "leaving");
        Assert.assertEquals(refused.headers().firstValue("Connection").orElse(""), "close");
        Assert.assertFalse(stopped.isComplete());
        finish(first, 3);
        finish(second, 2);
        Answers.assertCompleteStream(Answers.await(before), 1, 3);
        Answers.assertCompleteStream(Answers.await(settling), 1, 2);
        stopped.await();
        JsonArray records = fixture.readLog("usage");
        Assert.assertEquals(records.size(), 1);
        byte[] data = Base64.getDecoder().decode(records.getJsonObject(0).getString("data"));
        JsonObject counts = new JsonObject(new String(data, StandardCharsets.UTF_8))
                .getJsonArray("entries")
                .getJsonObject(0)
                .getJsonObject("counts");
        Assert.assertEquals(counts.getInteger("generations"), 2);
        Assert.assertEquals(counts.getInteger("outputTokens"), 5);
    }

    /** Guards against a stream that ends without an error event when the time limit for draining is reached. */
    @Test
    public void interruptsRunningRequestsAtDrainTimeout() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(0, 50));
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        acceptWithTokens(2);
        RouterFixture.eventually(() -> router.counter("redwinghook_router_first_token_seconds_count") == 1);
        Future<Void> stopped = router.verticle.stopGracefully();
        Answers.assertInterrupted(Answers.await(response), 2);
        stopped.await();
    }

    /** Guards against a request whose body is still arriving and that blocks the stop without an answer. */
    @Test
    public void requestThatHasNotArrivedWholeIsRefusedAtTheDrain() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(0, 50));
        try (RawCaller caller = new RawCaller(router)) {
            caller.sendHeadAndHalfOfBody();
            RouterFixture.eventually(() -> router.runningRequests() == 1);
            Future<Void> stopped = router.verticle.stopGracefully();
            Assert.assertTrue(caller.readAnswer().startsWith("HTTP/1.1 503"), "the request was not refused");
            caller.sendThirdQuarterOfBody();
            caller.sendLastQuarterOfBody();
            caller.assertClosed();
            stopped.await();
        }
        sidecar(0).assertNotReceived(Submit.class, 0);
    }

    /** Guards against a connection that is reset while its caller still sends the body of a refused request. */
    @Test
    public void stopWaitsForBodyOfRefusedRequest() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(0, 0));
        CompletableFuture<HttpResponse<String>> running = router.complete(true);
        ReceivedMessage<Submit> submit = acceptWithTokens(1);
        Future<Void> stopped = router.verticle.stopGracefully();
        RouterFixture.eventually(() -> Answers.await(router.get("/v2/other")).statusCode() == 503);
        try (RawCaller caller = new RawCaller(router)) {
            caller.sendHeadAndHalfOfBody();
            String refusal = caller.readAnswer();
            Assert.assertTrue(refusal.startsWith("HTTP/1.1 503"), refusal);
            finish(submit, 2);
            Answers.assertCompleteStream(Answers.await(running), 1, 2);
            // The first write to a closed connection provokes the reset, the second one fails.
            Thread.sleep(CALLER_PAUSE_MILLIS);
            caller.sendThirdQuarterOfBody();
            Thread.sleep(CALLER_PAUSE_MILLIS);
            caller.sendLastQuarterOfBody();
            caller.assertClosed();
            stopped.await();
        }
    }

    /** Guards against a caller that sends the next request on a kept connection just when the stop closes it. */
    @Test
    public void connectionClosesAfterItsNextResponseOnceTheStopHasBegun() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(LONG_SETTLE_MILLIS, 0));
        try (RawCaller caller = new RawCaller(router)) {
            caller.send("GET /v2/other HTTP/1.1\r\nHost: router\r\n\r\n");
            Assert.assertFalse(caller.readAnswer().toLowerCase(Locale.ROOT).contains("connection: close"));
            router.verticle.stopGracefully();
            RouterFixture.eventually(() -> router.status("/ready") == 503);
            // The second of two pipelined requests must not run, as its answer cannot arrive.
            caller.send("GET /v2/other HTTP/1.1\r\nHost: router\r\n\r\n");
            caller.sendWholeRequest();
            String answer = caller.readAnswer();
            Assert.assertTrue(answer.startsWith("HTTP/1.1 404"), answer);
            Assert.assertTrue(answer.toLowerCase(Locale.ROOT).contains("connection: close"), answer);
            caller.assertClosed();
            sidecar(0).assertNotReceived(Submit.class, CALLER_PAUSE_MILLIS);
        }
    }

    /** Guards against a caller that sends its next request after the last answer and loses the connection. */
    @Test
    public void requestAfterTheLastAnswerIsRefusedBeforeItsConnectionCloses() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(0, 0));
        try (RawCaller caller = new RawCaller(router)) {
            caller.sendWholeRequest();
            ReceivedMessage<Submit> submit = acceptWithTokens(1);
            RouterFixture.eventually(() -> router.counter("redwinghook_router_first_token_seconds_count") == 1);
            Future<Void> stopped = router.verticle.stopGracefully();
            RouterFixture.eventually(
                    () -> Answers.await(router.get("/v2/other")).statusCode() == 503);
            finish(submit, 2);
            caller.readThrough("data: [DONE]");
            Thread.sleep(CALLER_PAUSE_MILLIS);
            caller.sendWholeRequest();
            String rest = caller.readToEnd();
            Assert.assertTrue(rest.contains("HTTP/1.1 503"), rest);
            stopped.await();
        }
    }

    /** Guards against pipelined requests that are read and then dropped when the first of them ends. */
    @Test
    public void pipelinedRequestsAreAnsweredBeforeTheStop() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(0, 0));
        try (RawCaller caller = new RawCaller(router)) {
            caller.sendWholeRequest();
            ReceivedMessage<Submit> submit = acceptWithTokens(1);
            RouterFixture.eventually(() -> router.counter("redwinghook_router_first_token_seconds_count") == 1);
            caller.send("GET /v2/other HTTP/1.1\r\nHost: router\r\n\r\n");
            Future<Void> stopped = router.verticle.stopGracefully();
            RouterFixture.eventually(
                    () -> Answers.await(router.get("/v2/other")).statusCode() == 503);
            finish(submit, 2);
            String answers = caller.readToEnd();
            Assert.assertTrue(answers.contains("data: [DONE]"), answers);
            Assert.assertTrue(answers.contains("HTTP/1.1 503"), answers);
            stopped.await();
        }
    }

    private ReceivedMessage<Submit> acceptWithTokens(int tokens) throws InterruptedException {
        ReceivedMessage<Submit> submit = sidecar(0).next(Submit.class);
        long exchange = submit.message().exchange();
        submit.send(new Accepted(exchange, "vm.1.1." + exchange), Answers.tokens(exchange, 1, tokens));
        return submit;
    }

    private static void finish(ReceivedMessage<Submit> submit, int last) {
        long exchange = submit.message().exchange();
        submit.send(Answers.tokens(exchange, 2, last), Answers.finished(exchange, last));
    }
}
