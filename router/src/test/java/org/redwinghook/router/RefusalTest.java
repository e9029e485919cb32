package org.redwinghook.router;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.Cancel;
import org.redwinghook.core.message.LeavingAcknowledgement;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Submit;
import org.redwinghook.router.FakeSidecar.ReceivedMessage;
import org.redwinghook.router.RouterFixture.RunningRouter;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against requests that end with a wrong outcome, and against unclear errors. */
public class RefusalTest extends RouterTestCase {

    /** Guards against a sidecar that cannot tell when this router has stopped sending it work. */
    @Test
    public void confirmsThatAnEndpointLeaves() throws Exception {
        start(RouterFixture.ENGINE_SERVICE);
        sidecar(0).reportLeaving();
        Assert.assertEquals(sidecar(0).next(LeavingAcknowledgement.class).message(), new LeavingAcknowledgement(0));
    }

    /** Guards against endless retries and against a refusal without a retry delay. */
    @Test
    public void refusesWhenAllEndpointsRefuse() throws Exception {
        RunningRouter router = start(new RouterFixture(
                RouterFixture.ENGINE_SERVICE,
                RouterFixture.ENGINE_SERVICE,
                RouterFixture.ENGINE_SERVICE,
                RouterFixture.ENGINE_SERVICE));
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        int submits = 0;
        while (!response.isDone()) {
            for (FakeSidecar sidecar : fixture.sidecars) {
                if (router.endpoint(sidecar.vm).getInteger("outstanding") > 0) {
                    ReceivedMessage<Submit> submit = sidecar.next(Submit.class);
                    submit.send(Answers.refused(submit.message().exchange(), RefusalReason.OVERLOADED));
                    submits++;
                    RouterFixture.eventually(() -> router.endpoint(sidecar.vm).getInteger("outstanding") == 0);
                }
            }
        }
        HttpResponse<String> answer = Answers.await(response);
        Assert.assertEquals(submits, 3);
        Assert.assertEquals(answer.statusCode(), 503);
        Assert.assertEquals(Answers.outcome(answer), "not-run");
        Assert.assertEquals(Answers.errorType(answer), "overloaded");
        Assert.assertEquals(answer.headers().firstValue("Retry-After").orElse(""), "2");
        Assert.assertEquals(router.counter("redwinghook_router_refusals_total{reason=\"overloaded\"}"), 1.0);
    }

    /**
     * Guards against reporting a generation as not run that the engine may have started, and against abandoned work.
     */
    @Test
    public void reportsUnknownOutcomeAndCancelsWhenNoTokenComes() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).timeout(100));
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        ReceivedMessage<Submit> submit = sidecar(0).next(Submit.class);
        long exchange = submit.message().exchange();
        submit.send(new Accepted(exchange, "vm.1.1.1"));
        HttpResponse<String> answer = Answers.await(response);
        Assert.assertEquals(answer.statusCode(), 504);
        Assert.assertEquals(Answers.outcome(answer), "unknown");
        Assert.assertEquals(sidecar(0).next(Cancel.class).message().exchange(), exchange);
    }

    /** Guards against reporting only the first of several errors in a request. */
    @Test
    public void reportsAllFindingsOfABodyTogether() throws Exception {
        RunningRouter router = start();
        JsonObject body = new JsonObject()
                .put(
                        "messages",
                        new JsonArray().add(new JsonObject().put("role", 3)).add("text"))
                .put("max_tokens", 0)
                .put("stream", "yes");
        HttpResponse<String> answer = Answers.await(router.post("/v1/chat/completions", body.encode()));
        Assert.assertEquals(answer.statusCode(), 400);
        Assert.assertEquals(Answers.outcome(answer), "not-run");
        Assert.assertEquals(
                new JsonObject(answer.body()).getJsonObject("error").getJsonArray("findings"),
                new JsonArray()
                        .add("'model' is missing")
                        .add("'messages[0].role' must be a string")
                        .add("'messages[0].content' is missing")
                        .add("'messages[1]' must be an object")
                        .add("'max_tokens' must be a whole number of at least 1")
                        .add("'stream' must be true or false"));
        assertError(router.post("/v1/completions", "[]"), 400, "invalid_request");
        assertError(router.post("/v1/completions", ""), 400, "invalid_request");
    }

    /** Guards against errors in another format or without an outcome. */
    @Test
    public void answersAllErrorsInTheSameFormat() throws Exception {
        RunningRouter router = start();
        assertError(router.get("/v2/other"), 404, "unknown_path");
        assertError(router.get("/v1/completions"), 405, "method_not_allowed");
        assertError(router.post("/v1/completions", "x".repeat(3 * 1024 * 1024)), 413, "body_too_large");
        assertError(router.post("/v1/completions", "{}", "Authorization", "Bearer other"), 401, "unauthorized");
        HttpResponse<String> largeHead = Answers.await(router.get("/v2/other", "X-Large", "x".repeat(20_000)));
        Assert.assertEquals(largeHead.statusCode(), 431);
        Assert.assertEquals(Answers.outcome(largeHead), "not-run");
        assertError(router.get("/services/none/path"), 404, "unknown_service");
        assertError(router.complete(true), 503, "no_endpoint");
        String unknown = new JsonObject().put("model", "m").put("prompt", "p").encode();
        assertError(router.post("/v1/completions", unknown), 404, "unknown_model");
    }

    /** Guards against a customer that exceeds its limit. */
    @Test
    public void refusesCustomerOverItsLimit() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.PLAIN_SERVICE).limit(0.5));
        // The bucket of a new owner is empty, and half a request a second does not fill it during the test.
        HttpResponse<String> answer = Answers.await(router.get("/services/desk/status"));
        Assert.assertEquals(answer.statusCode(), 429, answer.body());
        Assert.assertEquals(Answers.outcome(answer), "not-run");
        Assert.assertEquals(Answers.errorType(answer), "rate_limited");
        Assert.assertEquals(answer.headers().firstValue("Retry-After").orElse(""), "2");
    }

    /**
     * Guards against each router applying the whole limit: both must acquire quota from the customer's owner router.
     */
    @Test
    public void sharesOneLimitBetweenTwoRouters() throws Exception {
        RunningRouter first = start(new RouterFixture().limit(10));
        RunningRouter second = fixture.startRouter();
        fixture.publishRouters();
        double before = fallbacks(first, second);
        int admitted = 0;
        long started = System.nanoTime();
        for (int round = 0; round < 30; round++) {
            admitted += Answers.await(first.get("/services/desk/status")).statusCode() == 429 ? 0 : 1;
            admitted += Answers.await(second.get("/services/desk/status")).statusCode() == 429 ? 0 : 1;
            Thread.sleep(10);
        }
        double seconds = (System.nanoTime() - started) / 1e9;
        // The bucket holds at most the quota of two seconds at the start; one request may use the local share.
        Assert.assertTrue(admitted <= 10 * (seconds + 2) + 1, admitted + " admitted in " + seconds + " s");
        Assert.assertTrue(admitted >= 5, admitted + " admitted");
        Assert.assertTrue(fallbacks(first, second) - before <= 1, "the owner router was not asked");
    }

    private static double fallbacks(RunningRouter first, RunningRouter second) throws Exception {
        String name = "redwinghook_router_quota_fallbacks_total";
        return first.counter(name) + second.counter(name);
    }

    /** Guards against chat responses in the format of text completions. */
    @Test
    public void answersChatsInChatFormat() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE));
        JsonArray messages = new JsonArray()
                .add(new JsonObject().put("role", "system").put("content", "be brief"))
                .add(new JsonObject().put("role", "user").put("content", "hello"));
        JsonObject body =
                new JsonObject().put("model", RouterFixture.ENGINE_SERVICE).put("messages", messages);
        CompletableFuture<HttpResponse<String>> streamed =
                router.post("/v1/chat/completions", body.put("stream", true).encode());
        ReceivedMessage<Submit> submit = answerTwoTokens();
        Assert.assertEquals(submit.message().generation().prompt(), "system: be brief\nuser: hello\n");
        HttpResponse<String> events = Answers.await(streamed);
        Answers.assertCompleteStream(events, 1, 2);
        Assert.assertTrue(events.body().contains("\"delta\":{\"role\":\"assistant\",\"content\":\"1 \"}"));
        Assert.assertTrue(events.body().contains("\"delta\":{\"content\":\"2 \"}"), events.body());
        CompletableFuture<HttpResponse<String>> whole =
                router.post("/v1/chat/completions", body.put("stream", false).encode());
        answerTwoTokens();
        JsonObject choice = new JsonObject(Answers.await(whole).body())
                .getJsonArray("choices")
                .getJsonObject(0);
        Assert.assertEquals(choice.getJsonObject("message").getString("content"), "1 2 ");
        Assert.assertEquals(choice.getString("finish_reason"), "stop");
    }

    private ReceivedMessage<Submit> answerTwoTokens() throws InterruptedException {
        ReceivedMessage<Submit> submit = sidecar(0).next(Submit.class);
        long exchange = submit.message().exchange();
        submit.send(new Accepted(exchange, "vm.1.1.1"), Answers.tokens(exchange, 1, 2), Answers.finished(exchange, 2));
        return submit;
    }

    private static void assertError(CompletableFuture<HttpResponse<String>> response, int status, String type)
            throws Exception {
        HttpResponse<String> answer = Answers.await(response);
        Assert.assertEquals(answer.statusCode(), status, answer.body());
        Assert.assertEquals(Answers.errorType(answer), type);
        Assert.assertEquals(Answers.outcome(answer), "not-run");
    }
}
