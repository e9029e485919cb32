package org.redwinghook.standins.engine;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.redwinghook.standins.StandInClient;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against an engine that is kinder than the platform's. */
public final class EngineStandInTest {

    private static final int TOKENS = 12;
    private static final int GRACE_MILLIS = 1_000;

    /** Guards against lost, repeated or mixed tokens when streams are cut and generations are preempted. */
    public static final class Streams extends Fixture {

        @Test
        public void streamsAWholeGeneration() throws Exception {
            List<String> data = StandInClient.data(complete("a").body());
            Assert.assertEquals(data.get(data.size() - 1), "[DONE]");
            Assert.assertEquals(words(data), expected("a", 1, TOKENS));
            JsonObject end = new JsonObject(data.get(data.size() - 2));
            Assert.assertEquals(end.getJsonArray("choices").getJsonObject(0).getString("finish_reason"), "length");
        }

        @Test
        public void resumesACutStreamWithoutRepeatingTokens() throws Exception {
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> cut = client.sendAsync("POST", "/v1/completions", body("a"));
            StandInClient.await(() -> engine.presentLoad().running() == 1);
            Assert.assertEquals(client.send("POST", "/faults/close-streams", "").statusCode(), 200);
            Assert.assertThrows(Exception.class, cut::get);
            engine.faults().update(faults -> faults.withStalled(false));
            String rest =
                    client.send("GET", "/v1/generations/a/stream?after=5", "").body();
            Assert.assertEquals(words(StandInClient.data(rest)), expected("a", 6, TOKENS));
            String end =
                    client.send("GET", "/v1/generations/a/stream?after=12", "").body();
            Assert.assertTrue(end.contains("\"finish_reason\":\"length\"") && end.contains("[DONE]"), end);
        }

        @Test(timeOut = 20_000)
        public void tokensStayWholeUnderPreemptionAndManyCuts() throws Exception {
            use(new EngineMemory(60, 0), ColdStart.NONE, EngineReporting.IMMEDIATE, true);
            List<CompletableFuture<List<String>>> readers = IntStream.range(0, 20)
                    .mapToObj(number -> CompletableFuture.supplyAsync(() -> readThroughCuts("g" + number)))
                    .toList();
            while (!readers.stream().allMatch(CompletableFuture::isDone)) {
                engine.closeStreams();
                Thread.sleep(3);
            }
            for (int number = 0; number < readers.size(); number++) {
                Assert.assertEquals(readers.get(number).get(), expected("g" + number, 1, TOKENS));
            }
            Assert.assertTrue(engine.presentLoad().preemptions() > 0);
        }

        @Test
        public void cancelsAndForgetsAbandonedGenerations() throws Exception {
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> first = client.sendAsync("POST", "/v1/completions", body("a"));
            StandInClient.await(() -> engine.presentLoad().running() == 1);
            Assert.assertEquals(
                    client.send("POST", "/v1/completions", body("a")).statusCode(), 409);
            Assert.assertEquals(client.send("DELETE", "/v1/generations/a", "").statusCode(), 200);
            Assert.assertThrows(Exception.class, first::get);
            Assert.assertEquals(client.send("DELETE", "/v1/generations/a", "").statusCode(), 404);
            client.sendAsync("POST", "/v1/completions", body("b"));
            StandInClient.await(() -> requests() == 1);
            engine.closeStreams();
            StandInClient.await(() -> requests() == 0);
            Assert.assertEquals(engine.presentLoad().memoryUsedTokens(), 0);
            Assert.assertEquals(
                    client.send("GET", "/v1/generations/b/stream", "").statusCode(), 404);
        }

        @Test
        public void malformedEventIsNotJson() throws Exception {
            engine.faults().update(faults -> faults.withMalformedNext(1));
            List<String> data = StandInClient.data(complete("a").body());
            Assert.assertThrows(Exception.class, () -> new JsonObject(data.get(0)));
            Assert.assertEquals(words(data), expected("a", 2, TOKENS));
        }
    }

    /** Guards against an engine that never dies and takes any load while cold. */
    public static final class Failures extends Fixture {

        @Test
        public void diesAfterTokensAndComesBackAsANewStart() throws Exception {
            long started = client.json("/load").getLong("started_at");
            engine.faults().update(faults -> faults.withDieAfterTokens(5));
            List<String> words = new ArrayList<>();
            Assert.assertFalse(read(words, "POST", "/v1/completions", body("a")));
            Assert.assertTrue(words.size() <= 5);
            StandInClient.await(this::accepts);
            Assert.assertTrue(client.json("/load").getLong("started_at") > started);
            Assert.assertEquals(
                    client.send("GET", "/v1/generations/a/stream", "").statusCode(), 404);
        }

        @Test
        public void coldEngineRefusesMoreThanItCanBearUntilItIsWarm() throws Exception {
            use(EngineMemory.USUAL, new ColdStart(3, 2, 1, ColdOverload.REFUSE), EngineReporting.IMMEDIATE, true);
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> first = client.sendAsync("POST", "/v1/completions", body("a"));
            StandInClient.await(() -> engine.presentLoad().running() == 1);
            Assert.assertEquals(complete("b").statusCode(), 503);
            engine.faults().update(faults -> faults.withStalled(false));
            Assert.assertEquals(first.get().statusCode(), 200);
            engine.faults().update(faults -> faults.withStalled(true));
            client.sendAsync("POST", "/v1/completions", body("c"));
            client.sendAsync("POST", "/v1/completions", body("d"));
            StandInClient.await(() -> requests() == 2);
            client.send("POST", "/faults/turn-cold", "");
            Assert.assertEquals(complete("e").statusCode(), 503);
        }

        @Test
        public void coldEngineCrashesUnderLoad() throws Exception {
            use(EngineMemory.USUAL, new ColdStart(3, 2, 1, ColdOverload.CRASH), EngineReporting.IMMEDIATE, true);
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> first = client.sendAsync("POST", "/v1/completions", body("a"));
            StandInClient.await(() -> engine.presentLoad().running() == 1);
            Assert.assertThrows(IOException.class, () -> complete("b"));
            Assert.assertThrows(Exception.class, first::get);
            Assert.assertEquals(engine.presentLoad().running(), 0);
        }

        @Test
        public void refusesConnectionsForATime() throws Exception {
            engine.refuseConnections(50).await();
            Assert.assertFalse(accepts());
            StandInClient.await(this::accepts);
        }
    }

    /** Guards against an engine that obeys old commands unasked or reports at once and in full. */
    public static final class Reports extends Fixture {

        @Test
        public void checksOrIgnoresFencingNumbers() throws Exception {
            Assert.assertEquals(command("load-model", "base", 7), 200);
            Assert.assertEquals(command("load-model", "old", 6), 409);
            Assert.assertEquals(command("load-adapter", "errata", 7), 200);
            Assert.assertEquals(command("paint", "red", 8), 400);
            Assert.assertEquals(engine.state(), new EngineState("base", "", List.of("errata"), "", 7));
            use(EngineMemory.USUAL, ColdStart.NONE, EngineReporting.IMMEDIATE, false);
            Assert.assertEquals(command("change-role", "decode", 7), 200);
            Assert.assertEquals(command("change-role", "prefill", 6), 200);
            Assert.assertEquals(client.json("/state").getString("role"), "prefill");
        }

        @Test
        public void reportsLoadAndCacheEventsLateAndWithGaps() throws Exception {
            EngineReporting late = new EngineReporting(3_600_000, 0, 2);
            use(EngineMemory.USUAL, ColdStart.NONE, late, true);
            engine.faults().update(faults -> faults.withStalled(true));
            client.sendAsync(
                    "POST",
                    "/v1/completions",
                    new JsonObject(body("a")).put("prompt", "p".repeat(1_024)).encode());
            StandInClient.await(() -> engine.presentLoad().running() == 1);
            Assert.assertEquals(client.json("/load").getInteger("running"), 0);
            JsonObject page = client.json("/cache-events?from=1");
            List<Long> sequences = page.getJsonArray("events").stream()
                    .map(event -> ((JsonObject) event).getLong("sequence"))
                    .toList();
            Assert.assertEquals(sequences, List.of(1L, 3L));
            Assert.assertEquals(page.getLong("next"), 4);
        }
    }

    /** An engine with quick steps and a client. */
    abstract static class Fixture {

        Vertx vertx;
        EngineStandIn engine;
        StandInClient client;

        @BeforeMethod
        public void open() {
            vertx = Vertx.vertx();
            use(EngineMemory.USUAL, new ColdStart(3, 2, 2, ColdOverload.SLOW), EngineReporting.IMMEDIATE, true);
        }

        @AfterMethod
        public void close() {
            vertx.close().await();
        }

        void use(EngineMemory memory, ColdStart coldStart, EngineReporting reporting, boolean checksFencing) {
            engine = new EngineStandIn(
                    vertx,
                    0,
                    new EngineSettings(
                            1,
                            10_000,
                            EnginePace.FAST,
                            memory,
                            coldStart,
                            reporting,
                            GRACE_MILLIS,
                            50,
                            1,
                            checksFencing));
            client = new StandInClient(engine.start().await());
        }

        List<String> readThroughCuts(String identifier) {
            List<String> words = new ArrayList<>();
            boolean whole = read(words, "POST", "/v1/completions", body(identifier));
            while (!whole) {
                whole = read(words, "GET", "/v1/generations/" + identifier + "/stream?after=" + words.size(), "");
            }
            return words;
        }

        /** Reads a stream up to its end or its cut; whether it was whole. */
        boolean read(List<String> words, String method, String path, String body) {
            try {
                for (String line : (Iterable<String>) client.lines(method, path, body)::iterator) {
                    if (line.equals("data: [DONE]")) {
                        return true;
                    }
                    words.addAll(words(StandInClient.data(line)));
                }
            } catch (IOException | UncheckedIOException | InterruptedException exception) {
                return false;
            }
            return false;
        }

        int requests() {
            EngineLoad load = engine.presentLoad();
            return load.running() + load.waiting();
        }

        boolean accepts() {
            try {
                return client.send("GET", "/load", "").statusCode() == 200;
            } catch (IOException | InterruptedException exception) {
                return false;
            }
        }

        HttpResponse<String> complete(String identifier) throws IOException, InterruptedException {
            return client.send("POST", "/v1/completions", body(identifier));
        }

        int command(String kind, String name, long fencing) throws IOException, InterruptedException {
            JsonObject command =
                    new JsonObject().put("kind", kind).put("name", name).put("fencing", fencing);
            return client.send("POST", "/commands", command.encode()).statusCode();
        }

        static String body(String identifier) {
            return new JsonObject()
                    .put("request_id", identifier)
                    .put("prompt", "Draft a care guide.")
                    .put("max_tokens", TOKENS)
                    .encode();
        }

        static List<String> words(List<String> data) {
            return data.stream()
                    .filter(event -> event.contains("@"))
                    .map(event -> new JsonObject(event)
                            .getJsonArray("choices")
                            .getJsonObject(0)
                            .getString("text"))
                    .map(text -> GeneratedWord.parse(text).orElseThrow())
                    .map(word -> word.generation() + ":" + word.index())
                    .toList();
        }

        static List<String> expected(String generation, int first, int last) {
            return IntStream.rangeClosed(first, last)
                    .mapToObj(index -> generation + ":" + index)
                    .toList();
        }
    }
}
