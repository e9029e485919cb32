package org.redwinghook.router;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.core.message.Tokens;
import org.testng.Assert;

/** Creates messages of sidecars and checks responses to callers. */
final class Answers {

    private Answers() {}

    /** Creates tokens whose text is their sequence number and a space. */
    static Tokens tokens(long exchange, int first, int last) {
        List<String> texts = IntStream.rangeClosed(first, last)
                .mapToObj(number -> number + " ")
                .toList();
        return new Tokens(exchange, first, texts);
    }

    static Finished finished(long exchange, long last) {
        return new Finished(exchange, FinishReason.STOP, new TokenUsage(2, last), last, FakeSidecar.load());
    }

    static Refused refused(long exchange, RefusalReason reason) {
        return new Refused(exchange, reason, "detail", 1_500, FakeSidecar.load());
    }

    static HttpResponse<String> await(CompletableFuture<HttpResponse<String>> response) throws Exception {
        return response.get(5, TimeUnit.SECONDS);
    }

    static String outcome(HttpResponse<String> response) {
        return response.headers().firstValue("Redwinghook-Outcome").orElse("none");
    }

    static String errorType(HttpResponse<String> response) {
        return new JsonObject(response.body()).getJsonObject("error").getString("type");
    }

    /** Returns the sequence numbers of the event identifiers, in order of arrival. */
    static List<Integer> sequences(String events) {
        List<Integer> numbers = new ArrayList<>();
        for (String line : events.split("\n")) {
            if (line.startsWith("id: ")) {
                numbers.add(Integer.parseInt(line.substring(line.lastIndexOf('.') + 1)));
            }
        }
        return numbers;
    }

    static void assertCompleteStream(HttpResponse<String> response, int first, int last) {
        String events = response.body();
        Assert.assertEquals(
                sequences(events), IntStream.rangeClosed(first, last).boxed().toList(), events);
        Assert.assertTrue(events.endsWith("data: [DONE]\n\n"), events);
        Assert.assertTrue(events.contains("\"finish_reason\":\"stop\""), events);
        Assert.assertTrue(events.contains("\"completion_tokens\":" + last), events);
    }

    static void assertInterrupted(HttpResponse<String> response, int last) {
        String events = response.body();
        Assert.assertEquals(
                sequences(events), IntStream.rangeClosed(1, last).boxed().toList(), events);
        Assert.assertTrue(events.contains("event: error\n"), events);
        Assert.assertTrue(events.contains("\"type\":\"interrupted\""), events);
        Assert.assertFalse(events.contains("[DONE]"), events);
    }
}
