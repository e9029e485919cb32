package org.redwinghook.router;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
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
            stopped.await();
        }
        sidecar(0).assertNotReceived(Submit.class, 0);
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
