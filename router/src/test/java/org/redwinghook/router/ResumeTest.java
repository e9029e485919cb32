package org.redwinghook.router;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;

import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.Interrupted;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Resume;
import org.redwinghook.core.message.Submit;
import org.redwinghook.router.FakeSidecar.ReceivedMessage;
import org.redwinghook.router.RouterFixture.RunningRouter;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against lost, duplicate and mixed-up tokens when connections between router and sidecar fail. */
public class ResumeTest extends RouterTestCase {

    private static final String GENERATION = "vm.1.1.7";

    /** Guards against a lost connection that ends the stream or duplicates tokens. */
    @Test
    public void resumesAfterLastTokenWhenConnectionIsLostMidStream() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        ReceivedMessage<Submit> submit = acceptWithTokens(3);
        submit.sidecar().closeConnections();
        answerResume(3, 6);
        Answers.assertCompleteStream(Answers.await(response), 1, 6);
        Assert.assertEquals(router.counter("redwinghook_router_resumes_total"), 1.0);
    }

    /** Guards against an undetected stalled connection: it stays open and no message arrives. */
    @Test
    public void interruptsWhenSidecarStopsResponding() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        acceptWithTokens(2).sidecar().stopResponding();
        Answers.assertInterrupted(Answers.await(response), 2);
        Assert.assertEquals(router.counter("redwinghook_router_interruptions_total"), 1.0);
    }

    /** Guards against a router that takes its own pause for silence of the sidecars and loses all connections. */
    @Test
    public void keepsConnectionAfterPauseOfRouter() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        FakeSidecar sidecar = sidecar(0);
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        ReceivedMessage<Submit> submit = sidecar.next(Submit.class);
        long exchange = submit.message().exchange();
        fixture.pause(2 * RouterFixture.SILENCE_MILLIS);
        submit.send(new Accepted(exchange, GENERATION), Answers.tokens(exchange, 1, 2), Answers.finished(exchange, 2));
        Answers.assertCompleteStream(Answers.await(response), 1, 2);
        sidecar.assertNotReceived(Resume.class, 0);
    }

    /** Guards against resuming a generation of another incarnation with the same identifier. */
    @Test
    public void interruptsWhenSidecarRestarted() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                start(RouterFixture.ENGINE_SERVICE).complete(true);
        acceptWithTokens(2).sidecar().restart();
        Answers.assertInterrupted(Answers.await(response), 2);
        sidecar(0).assertNotReceived(Resume.class, 50);
    }

    /** Guards against a request that fails although no token was sent and another endpoint is available. */
    @Test
    public void retriesAtAnotherEndpointWhenConnectionIsLostBeforeFirstToken() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE, RouterFixture.ENGINE_SERVICE);
        CompletableFuture<HttpResponse<String>> response = router.complete(true);
        FakeSidecar first = findBusySidecar(router);
        FakeSidecar second = otherSidecar(first);
        first.closeConnections();
        ReceivedMessage<Submit> submit = second.next(Submit.class);
        long exchange = submit.message().exchange();
        submit.send(
                new Accepted(exchange, second.vm + ".1.1"),
                Answers.tokens(exchange, 1, 2),
                Answers.finished(exchange, 2));
        Answers.assertCompleteStream(Answers.await(response), 1, 2);
        Assert.assertEquals(router.counter("redwinghook_router_retries_total"), 1.0);
    }

    /** Guards against reporting a generation as not run that was accepted and lost when no other endpoint is left. */
    @Test
    public void resumesBeforeFirstTokenWhenNoOtherEndpointIsLeft() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                start(RouterFixture.ENGINE_SERVICE).complete(false);
        ReceivedMessage<Submit> submit = sidecar(0).next(Submit.class);
        submit.send(new Accepted(submit.message().exchange(), GENERATION));
        RouterFixture.eventually(() -> fixture.routers.get(0).endpoint("vm.1").getInteger("outstanding") == 1);
        Thread.sleep(20);
        submit.sidecar().restart();
        HttpResponse<String> answer = Answers.await(response);
        Assert.assertEquals(answer.statusCode(), 504, answer.body());
        Assert.assertEquals(Answers.outcome(answer), "unknown");
    }

    /** Guards against missing and duplicate tokens when messages are repeated or lost. */
    @Test
    public void dropsDuplicateTokensAndRequestsMissingOnes() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                start(RouterFixture.ENGINE_SERVICE).complete(true);
        ReceivedMessage<Submit> submit = acceptWithTokens(3);
        long exchange = submit.message().exchange();
        submit.send(Answers.tokens(exchange, 2, 4), Answers.tokens(exchange, 7, 8));
        ReceivedMessage<Resume> resume = sidecar(0).next(Resume.class);
        Assert.assertEquals(resume.message().afterSequence(), 4);
        long resumed = resume.message().exchange();
        resume.send(
                Answers.tokens(exchange, 5, 9),
                new Accepted(resumed, GENERATION),
                Answers.tokens(resumed, 5, 8),
                Answers.finished(resumed, 8));
        Answers.assertCompleteStream(Answers.await(response), 1, 8);
    }

    /** Guards against completing a generation whose last tokens are missing. */
    @Test
    public void requestsTokensThatAreMissingAtTheEnd() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                start(RouterFixture.ENGINE_SERVICE).complete(true);
        ReceivedMessage<Submit> submit = acceptWithTokens(2);
        submit.send(Answers.finished(submit.message().exchange(), 4));
        answerResume(2, 4);
        Answers.assertCompleteStream(Answers.await(response), 1, 4);
    }

    /** Guards against an endless loop with a sidecar that never sends the missing tokens. */
    @Test
    public void interruptsWhenMissingTokensNeverArrive() throws Exception {
        CompletableFuture<HttpResponse<String>> response =
                start(RouterFixture.ENGINE_SERVICE).complete(true);
        ReceivedMessage<Submit> submit = acceptWithTokens(1);
        submit.send(Answers.tokens(submit.message().exchange(), 3, 3));
        for (int resume = 0; resume < 5; resume++) {
            ReceivedMessage<Resume> again = sidecar(0).next(Resume.class);
            long exchange = again.message().exchange();
            again.send(new Accepted(exchange, GENERATION), Answers.tokens(exchange, 3, 3));
        }
        Answers.assertInterrupted(Answers.await(response), 1);
    }

    /** Guards against reporting an answer as complete after the engine died, streamed or not. */
    @Test
    public void reportsInterruptionOfTheEngine() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        CompletableFuture<HttpResponse<String>> streamed = router.complete(true);
        ReceivedMessage<Submit> submit = acceptWithTokens(2);
        submit.send(new Interrupted(submit.message().exchange(), "the engine died", 2));
        Answers.assertInterrupted(Answers.await(streamed), 2);
        CompletableFuture<HttpResponse<String>> unstreamed = router.complete(false);
        submit = acceptWithTokens(2);
        submit.send(new Interrupted(submit.message().exchange(), "the engine died", 2));
        HttpResponse<String> answer = Answers.await(unstreamed);
        Assert.assertEquals(answer.statusCode(), 502, answer.body());
        Assert.assertEquals(Answers.errorType(answer), "interrupted");
        Assert.assertEquals(Answers.outcome(answer), "unknown");
    }

    /** Guards against a caller that loses its generation when its router fails. */
    @Test
    public void resumesThroughAnotherRouter() throws Exception {
        start(RouterFixture.ENGINE_SERVICE);
        RunningRouter other = fixture.startRouter();
        CompletableFuture<HttpResponse<String>> events =
                other.get("/v1/generations/" + GENERATION + "/events", "Last-Event-ID", GENERATION + ".4");
        answerResume(4, 6);
        Answers.assertCompleteStream(Answers.await(events), 5, 6);
        CompletableFuture<HttpResponse<String>> posted =
                other.post("/v1/completions", RunningRouter.body(true), "Last-Event-ID", GENERATION + ".5");
        answerResume(5, 6);
        Answers.assertCompleteStream(Answers.await(posted), 6, 6);
    }

    /** Guards against reading another customer's generation and against guessing identifiers. */
    @Test
    public void refusesGenerationsThatAreNotTheCustomers() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        CompletableFuture<HttpResponse<String>> foreign =
                router.get("/v1/generations/" + GENERATION + "/events", "Authorization", "Bearer press-key");
        ReceivedMessage<Resume> resume = sidecar(0).next(Resume.class);
        Assert.assertEquals(resume.message().customer(), "press");
        resume.send(Answers.refused(resume.message().exchange(), RefusalReason.UNKNOWN_GENERATION));
        HttpResponse<String> answer = Answers.await(foreign);
        Assert.assertEquals(answer.statusCode(), 404);
        Assert.assertEquals(Answers.outcome(answer), "not-run");
        Assert.assertEquals(
                Answers.await(router.get("/v1/generations/none.1.1/events")).statusCode(), 404);
        Assert.assertEquals(
                Answers.await(router.get("/v1/generations/nonsense/events")).statusCode(), 400);
    }

    /** Accepts the next submit, sends the first tokens and waits until the router has received them. */
    private ReceivedMessage<Submit> acceptWithTokens(int tokens) throws Exception {
        double before = firstTokenCount();
        ReceivedMessage<Submit> submit = sidecar(0).next(Submit.class);
        long exchange = submit.message().exchange();
        submit.send(new Accepted(exchange, GENERATION), Answers.tokens(exchange, 1, tokens));
        RouterFixture.eventually(() -> firstTokenCount() > before);
        return submit;
    }

    private double firstTokenCount() throws Exception {
        return fixture.routers.get(0).counter("redwinghook_router_first_token_seconds_count");
    }

    private void answerResume(int after, int last) throws Exception {
        ReceivedMessage<Resume> resume = sidecar(0).next(Resume.class);
        Assert.assertEquals(resume.message().afterSequence(), after);
        Assert.assertEquals(resume.message().generation(), GENERATION);
        Assert.assertEquals(resume.message().customer(), "retail");
        long exchange = resume.message().exchange();
        resume.send(
                new Accepted(exchange, GENERATION),
                Answers.tokens(exchange, after + 1, last),
                Answers.finished(exchange, last));
    }
}
