package org.redwinghook.router;

import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Submit;
import org.redwinghook.router.FakeSidecar.ReceivedMessage;
import org.redwinghook.router.RouterFixture.RunningRouter;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against late, reordered and duplicate answers that reach the wrong request. */
public class LateAnswerTest extends RouterTestCase {

    /** Guards against tokens of a refused or failed attempt that arrive while the next attempt runs. */
    @Test
    public void dropsTokensOfAnEarlierAttempt() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE, RouterFixture.ENGINE_SERVICE);
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        FakeSidecar first = findBusySidecar(router);
        ReceivedMessage<Submit> old = first.next(Submit.class);
        long exchange = old.message().exchange();
        old.send(Answers.refused(exchange, RefusalReason.OVERLOADED));
        ReceivedMessage<Submit> submit = otherSidecar(first).next(Submit.class);
        old.send(
                new Accepted(exchange, "vm.1.1.1"),
                Answers.tokens(exchange, 1, 9),
                Answers.finished(exchange, 9),
                Answers.refused(exchange, RefusalReason.LOG_UNAVAILABLE));
        RouterFixture.eventually(() -> router.counter("redwinghook_router_dropped_messages_total") >= 4);
        long current = submit.message().exchange();
        submit.send(new Accepted(current, "vm.2.1.1"), Answers.tokens(current, 1, 2), Answers.finished(current, 2));
        HttpResponse<String> answer = Answers.await(response);
        Answers.assertCompleteStream(answer, 1, 2);
        Assert.assertFalse(answer.body().contains("vm.1.1.1"), answer.body());
    }

    /** Guards against matching answers to requests by their order instead of their exchange number. */
    @Test
    public void deliversReorderedAnswersToTheirOwnRequests() throws Exception {
        RunningRouter router = start(RouterFixture.PLAIN_SERVICE);
        CompletableFuture<HttpResponse<String>> first = router.post("/services/desk/notices", "one");
        ReceivedMessage<Submit> one = sidecar(0).next(Submit.class);
        CompletableFuture<HttpResponse<String>> second = router.post("/services/desk/notices", "two");
        ReceivedMessage<Submit> two = sidecar(0).next(Submit.class);
        two.send(answer(two), answer(two));
        one.send(answer(one));
        Assert.assertEquals(Answers.await(first).body(), "answer to one");
        Assert.assertEquals(Answers.await(second).body(), "answer to two");
        Assert.assertEquals(Answers.outcome(Answers.await(second)), "done");
    }

    /** Guards against a router that takes its own pause for silence and drops the answer that waits to be read. */
    @Test
    public void deliversAnswerThatWaitedDuringAPauseOfTheRouter() throws Exception {
        RunningRouter router = start(RouterFixture.PLAIN_SERVICE);
        CompletableFuture<HttpResponse<String>> response = router.post("/services/desk/notices", "one");
        ReceivedMessage<Submit> submit = sidecar(0).next(Submit.class);
        fixture.pause(2 * RouterFixture.SILENCE_MILLIS);
        submit.send(answer(submit));
        Assert.assertEquals(Answers.outcome(Answers.await(response)), "done");
        Assert.assertEquals(Answers.await(response).body(), "answer to one");
    }

    /** Guards against an answer that arrives after the outcome was reported to the caller as unknown. */
    @Test
    public void dropsAnswerAfterTimeout() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.PLAIN_SERVICE).timeout(100));
        CompletableFuture<HttpResponse<String>> response = router.post("/services/desk/notices", "one");
        ReceivedMessage<Submit> submit = sidecar(0).next(Submit.class);
        HttpResponse<String> unknown = Answers.await(response);
        Assert.assertEquals(Answers.outcome(unknown), "unknown");
        Assert.assertEquals(unknown.statusCode(), 502);
        submit.send(answer(submit));
        RouterFixture.eventually(() -> router.counter("redwinghook_router_dropped_messages_total") == 1);
    }

    /** Guards against retrying a lost call that is not idempotent, and against reporting it as not run. */
    @Test
    public void neverRetriesLostCallThatIsNotIdempotent() throws Exception {
        RunningRouter router = start(RouterFixture.PLAIN_SERVICE, RouterFixture.PLAIN_SERVICE);
        CompletableFuture<HttpResponse<String>> response = router.post("/services/desk/notices", "one");
        FakeSidecar first = findBusySidecar(router);
        first.next(Submit.class).sidecar().closeConnections();
        HttpResponse<String> answer = Answers.await(response);
        Assert.assertEquals(Answers.outcome(answer), "unknown");
        Assert.assertEquals(Answers.errorType(answer), "outcome_unknown");
        otherSidecar(first).assertNotReceived(Submit.class, 50);
    }

    /** Guards against reporting a call as not run when its first attempt was lost and its retry was refused. */
    @Test
    public void reportsUnknownOutcomeWhenRetryOfLostAttemptIsRefused() throws Exception {
        RunningRouter router = start(RouterFixture.PLAIN_SERVICE, RouterFixture.PLAIN_SERVICE);
        CompletableFuture<HttpResponse<String>> response = router.get("/services/desk/status");
        FakeSidecar first = findBusySidecar(router);
        ReceivedMessage<Submit> lost = first.next(Submit.class);
        lost.send(new OutcomeUnknown(lost.message().exchange(), "lost"));
        ReceivedMessage<Submit> retry = otherSidecar(first).next(Submit.class);
        retry.send(Answers.refused(retry.message().exchange(), RefusalReason.LEAVING));
        Assert.assertEquals(Answers.outcome(Answers.await(response)), "unknown");
    }

    private static CallAnswer answer(ReceivedMessage<Submit> submit) {
        byte[] body = submit.message().call().body();
        String text = "answer to " + new String(body, StandardCharsets.UTF_8);
        return new CallAnswer(
                submit.message().exchange(),
                200,
                "text/plain",
                text.getBytes(StandardCharsets.UTF_8),
                false,
                FakeSidecar.load());
    }
}
