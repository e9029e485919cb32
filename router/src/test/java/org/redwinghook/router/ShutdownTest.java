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
import org.redwinghook.router.FakeSidecar.Arrival;
import org.redwinghook.router.RouterFixture.Running;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against requests that a planned stop cuts, and against use that it forgets. */
public class ShutdownTest extends RouterTestCase {

    /** Guards against a listener that closes before the balancer notices, a cut stream and lost counts. */
    @Test
    public void drainsInSteps() throws Exception {
        Running router = start(new RouterFixture(RouterFixture.MODEL).stopping(200, 0));
        CompletableFuture<HttpResponse<String>> before = router.complete(true);
        Arrival<Submit> first = accepted(1);
        Future<Void> stopped = router.verticle.stopGracefully();
        RouterFixture.eventually(() -> router.status("/ready") == 503);
        CompletableFuture<HttpResponse<String>> settling = router.complete(true);
        Arrival<Submit> second = accepted(1);
        RouterFixture.eventually(() -> Answers.whole(router.get("/v2/other")).statusCode() == 503);
        HttpResponse<String> refused = Answers.whole(router.complete(true));
        Assert.assertEquals(Answers.outcome(refused), "not-run");
        Assert.assertEquals(Answers.errorType(refused), "leaving");
        Assert.assertEquals(refused.headers().firstValue("Connection").orElse(""), "close");
        Assert.assertFalse(stopped.isComplete());
        end(first, 3);
        end(second, 2);
        Answers.assertWholeStream(Answers.whole(before), 1, 3);
        Answers.assertWholeStream(Answers.whole(settling), 1, 2);
        stopped.await();
        JsonArray records = fixture.log("usage");
        Assert.assertEquals(records.size(), 1);
        byte[] data = Base64.getDecoder().decode(records.getJsonObject(0).getString("data"));
        JsonObject counts = new JsonObject(new String(data, StandardCharsets.UTF_8))
                .getJsonArray("entries")
                .getJsonObject(0)
                .getJsonObject("counts");
        Assert.assertEquals(counts.getInteger("generations"), 2);
        Assert.assertEquals(counts.getInteger("outputTokens"), 5);
    }

    /** Guards against a stream that ends without a word when the operator's limit for draining is reached. */
    @Test
    public void interruptsExplicitlyAtTheDrainLimit() throws Exception {
        Running router = start(new RouterFixture(RouterFixture.MODEL).stopping(0, 50));
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        accepted(2);
        RouterFixture.eventually(() -> router.counter("redwinghook_router_first_token_seconds_count") == 1);
        Future<Void> stopped = router.verticle.stopGracefully();
        Answers.assertInterrupted(Answers.whole(response), 2);
        stopped.await();
    }

    private Arrival<Submit> accepted(int tokens) throws InterruptedException {
        Arrival<Submit> submit = sidecar(0).next(Submit.class);
        long exchange = submit.message().exchange();
        submit.send(new Accepted(exchange, "vm.1.1." + exchange), Answers.tokens(exchange, 1, tokens));
        return submit;
    }

    private static void end(Arrival<Submit> submit, int last) {
        long exchange = submit.message().exchange();
        submit.send(Answers.tokens(exchange, 2, last), Answers.finished(exchange, last));
    }
}
