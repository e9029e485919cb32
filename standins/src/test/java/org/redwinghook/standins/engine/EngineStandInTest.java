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

/** Guards against a stand-in that lacks failure modes of the platform's engines. */
public final class EngineStandInTest {

    private static final int TOKENS = 12;
    private static final int GRACE_MILLIS = 1_000;

    /** Guards against lost, repeated or mixed tokens when connections close and generations are preempted. */
    public static final class Streams extends Fixture {

        @Test
        public void streamsCompleteGeneration() throws Exception {
            List<String> data = StandInClient.eventData(sendCompletion("a").body());
            Assert.assertEquals(data.get(data.size() - 1), "[DONE]");
            Assert.assertEquals(tokenPositions(data), expectedPositions("a", 1, TOKENS));
            JsonObject end = new JsonObject(data.get(data.size() - 2));
            Assert.assertEquals(end.getJsonArray("choices").getJsonObject(0).getString("finish_reason"), "length");
        }

        @Test
        public void resumesInterruptedStreamWithoutRepeatingTokens() throws Exception {
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> interrupted =
                    client.sendAsync("POST", "/v1/completions", completionBody("a"));
            StandInClient.await(() -> engine.currentLoad().running() == 1);
            Assert.assertEquals(client.send("POST", "/faults/close-streams", "").statusCode(), 200);
            Assert.assertThrows(Exception.class, interrupted::get);
            engine.faults().update(faults -> faults.withStalled(false));
            String rest =
                    client.send("GET", "/v1/generations/a/stream?after=5", "").body();
            Assert.assertEquals(tokenPositions(StandInClient.eventData(rest)), expectedPositions("a", 6, TOKENS));
            String end =
                    client.send("GET", "/v1/generations/a/stream?after=12", "").body();
            Assert.assertTrue(end.contains("\"finish_reason\":\"length\"") && end.contains("[DONE]"), end);
        }

        @Test(timeOut = 20_000)
        public void deliversEachTokenOnceDespitePreemptionAndDisconnections() throws Exception {
            startEngine(new EngineMemory(60, 0), ColdStart.NONE, EngineReporting.IMMEDIATE, true);
            List<CompletableFuture<List<String>>> readers = IntStream.range(0, 20)
                    .mapToObj(number -> CompletableFuture.supplyAsync(() -> readWithResumes("g" + number)))
                    .toList();
            while (!readers.stream().allMatch(CompletableFuture::isDone)) {
                engine.closeStreams();
                Thread.sleep(3);
            }
            for (int number = 0; number < readers.size(); number++) {
                Assert.assertEquals(readers.get(number).get(), expectedPositions("g" + number, 1, TOKENS));
            }
            Assert.assertTrue(engine.currentLoad().preemptions() > 0);
        }

        @Test
        public void cancelsGenerationAndRemovesAbandonedGeneration() throws Exception {
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> first =
                    client.sendAsync("POST", "/v1/completions", completionBody("a"));
            StandInClient.await(() -> engine.currentLoad().running() == 1);
            Assert.assertEquals(
                    client.send("POST", "/v1/completions", completionBody("a")).statusCode(), 409);
            Assert.assertEquals(client.send("DELETE", "/v1/generations/a", "").statusCode(), 200);
            Assert.assertThrows(Exception.class, first::get);
            Assert.assertEquals(client.send("DELETE", "/v1/generations/a", "").statusCode(), 404);
            client.sendAsync("POST", "/v1/completions", completionBody("b"));
            StandInClient.await(() -> requestCount() == 1);
            engine.closeStreams();
            StandInClient.await(() -> requestCount() == 0);
            Assert.assertEquals(engine.currentLoad().memoryUsedTokens(), 0);
            Assert.assertEquals(
                    client.send("GET", "/v1/generations/b/stream", "").statusCode(), 404);
        }

        @Test
        public void sendsMalformedEvent() throws Exception {
            engine.faults().update(faults -> faults.withMalformedNext(1));
            List<String> data = StandInClient.eventData(sendCompletion("a").body());
            Assert.assertThrows(Exception.class, () -> new JsonObject(data.get(0)));
            Assert.assertEquals(tokenPositions(data), expectedPositions("a", 2, TOKENS));
        }
    }

    /** Guards against an engine that never crashes and accepts any load while cold. */
    public static final class Failures extends Fixture {

        @Test
        public void crashesAfterTokensAndRestarts() throws Exception {
            long previousStartedAtMillis = client.getJson("/load").getLong("started_at");
            engine.faults().update(faults -> faults.withDieAfterTokens(5));
            List<String> positions = new ArrayList<>();
            Assert.assertFalse(readStream(positions, "POST", "/v1/completions", completionBody("a")));
            Assert.assertTrue(positions.size() <= 5);
            StandInClient.await(this::isReachable);
            Assert.assertTrue(client.getJson("/load").getLong("started_at") > previousStartedAtMillis);
            Assert.assertEquals(
                    client.send("GET", "/v1/generations/a/stream", "").statusCode(), 404);
        }

        @Test
        public void coldEngineRefusesRequestsAboveCapacityUntilWarm() throws Exception {
            startEngine(
                    EngineMemory.DEFAULT, new ColdStart(3, 2, 1, ColdOverload.REFUSE), EngineReporting.IMMEDIATE, true);
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> first =
                    client.sendAsync("POST", "/v1/completions", completionBody("a"));
            StandInClient.await(() -> engine.currentLoad().running() == 1);
            Assert.assertEquals(sendCompletion("b").statusCode(), 503);
            engine.faults().update(faults -> faults.withStalled(false));
            Assert.assertEquals(first.get().statusCode(), 200);
            engine.faults().update(faults -> faults.withStalled(true));
            client.sendAsync("POST", "/v1/completions", completionBody("c"));
            client.sendAsync("POST", "/v1/completions", completionBody("d"));
            StandInClient.await(() -> requestCount() == 2);
            client.send("POST", "/faults/turn-cold", "");
            Assert.assertEquals(sendCompletion("e").statusCode(), 503);
        }

        @Test
        public void coldEngineCrashesUnderLoad() throws Exception {
            startEngine(
                    EngineMemory.DEFAULT, new ColdStart(3, 2, 1, ColdOverload.CRASH), EngineReporting.IMMEDIATE, true);
            engine.faults().update(faults -> faults.withStalled(true));
            CompletableFuture<HttpResponse<String>> first =
                    client.sendAsync("POST", "/v1/completions", completionBody("a"));
            StandInClient.await(() -> engine.currentLoad().running() == 1);
            Assert.assertThrows(IOException.class, () -> sendCompletion("b"));
            Assert.assertThrows(Exception.class, first::get);
            Assert.assertEquals(engine.currentLoad().running(), 0);
        }

        @Test
        public void refusesConnectionsTemporarily() throws Exception {
            engine.refuseConnections(50).await();
            Assert.assertFalse(isReachable());
            StandInClient.await(this::isReachable);
        }
    }

    /** Guards against an engine that applies outdated commands by default, or reports without delays and gaps. */
    public static final class Reports extends Fixture {

        @Test
        public void checksOrIgnoresFencingNumbers() throws Exception {
            Assert.assertEquals(sendCommand("load-model", "base", 7), 200);
            Assert.assertEquals(sendCommand("load-model", "old", 6), 409);
            Assert.assertEquals(sendCommand("load-adapter", "errata", 7), 200);
            Assert.assertEquals(sendCommand("paint", "red", 8), 400);
            Assert.assertEquals(engine.state(), new EngineState("base", "", List.of("errata"), "", 7));
            startEngine(EngineMemory.DEFAULT, ColdStart.NONE, EngineReporting.IMMEDIATE, false);
            Assert.assertEquals(sendCommand("change-role", "decode", 7), 200);
            Assert.assertEquals(sendCommand("change-role", "prefill", 6), 200);
            Assert.assertEquals(client.getJson("/state").getString("role"), "prefill");
        }

        @Test
        public void reportsLoadLateAndCacheEventsWithGaps() throws Exception {
            EngineReporting late = new EngineReporting(3_600_000, 0, 2);
            startEngine(EngineMemory.DEFAULT, ColdStart.NONE, late, true);
            engine.faults().update(faults -> faults.withStalled(true));
            client.sendAsync(
                    "POST",
                    "/v1/completions",
                    new JsonObject(completionBody("a"))
                            .put("prompt", "p".repeat(1_024))
                            .encode());
            StandInClient.await(() -> engine.currentLoad().running() == 1);
            Assert.assertEquals(client.getJson("/load").getInteger("running"), 0);
            JsonObject page = client.getJson("/cache-events?from=1");
            List<Long> sequences = page.getJsonArray("events").stream()
                    .map(event -> ((JsonObject) event).getLong("sequence"))
                    .toList();
            Assert.assertEquals(sequences, List.of(1L, 3L));
            Assert.assertEquals(page.getLong("next"), 4);
        }
    }

    /** An engine with short decoding steps, and a client. */
    abstract static class Fixture {

        Vertx vertx;
        EngineStandIn engine;
        StandInClient client;

        @BeforeMethod
        public void open() {
            vertx = Vertx.vertx();
            startEngine(
                    EngineMemory.DEFAULT, new ColdStart(3, 2, 2, ColdOverload.SLOW), EngineReporting.IMMEDIATE, true);
        }

        @AfterMethod
        public void close() {
            vertx.close().await();
        }

        void startEngine(EngineMemory memory, ColdStart coldStart, EngineReporting reporting, boolean checksFencing) {
            engine = new EngineStandIn(
                    vertx,
                    0,
                    new EngineSettings(
                            1,
                            10_000,
                            EngineTiming.FAST,
                            memory,
                            coldStart,
                            reporting,
                            GRACE_MILLIS,
                            50,
                            1,
                            checksFencing));
            client = new StandInClient(engine.start().await());
        }

        List<String> readWithResumes(String identifier) {
            List<String> positions = new ArrayList<>();
            boolean isComplete = readStream(positions, "POST", "/v1/completions", completionBody(identifier));
            while (!isComplete) {
                isComplete = readStream(
                        positions, "GET", "/v1/generations/" + identifier + "/stream?after=" + positions.size(), "");
            }
            return positions;
        }

        /** Reads a stream until it ends or fails, and returns whether it was complete. */
        boolean readStream(List<String> positions, String method, String path, String body) {
            try {
                for (String line : (Iterable<String>) client.streamLines(method, path, body)::iterator) {
                    if (line.equals("data: [DONE]")) {
                        return true;
                    }
                    positions.addAll(tokenPositions(StandInClient.eventData(line)));
                }
            } catch (IOException | UncheckedIOException | InterruptedException exception) {
                return false;
            }
            return false;
        }

        int requestCount() {
            EngineLoad load = engine.currentLoad();
            return load.running() + load.waiting();
        }

        boolean isReachable() {
            try {
                return client.send("GET", "/load", "").statusCode() == 200;
            } catch (IOException | InterruptedException exception) {
                return false;
            }
        }

        HttpResponse<String> sendCompletion(String identifier) throws IOException, InterruptedException {
            return client.send("POST", "/v1/completions", completionBody(identifier));
        }

        int sendCommand(String kind, String name, long fencing) throws IOException, InterruptedException {
            JsonObject command =
                    new JsonObject().put("kind", kind).put("name", name).put("fencing", fencing);
            return client.send("POST", "/commands", command.encode()).statusCode();
        }

        static String completionBody(String identifier) {
            return new JsonObject()
                    .put("request_id", identifier)
                    .put("prompt", "Draft a care guide.")
                    .put("max_tokens", TOKENS)
                    .encode();
        }

        static List<String> tokenPositions(List<String> data) {
            return data.stream()
                    .filter(event -> event.contains("@"))
                    .map(event -> new JsonObject(event)
                            .getJsonArray("choices")
                            .getJsonObject(0)
                            .getString("text"))
                    .map(text -> GeneratedToken.parse(text).orElseThrow())
                    .map(token -> token.generation() + ":" + token.index())
                    .toList();
        }

        static List<String> expectedPositions(String generation, int first, int last) {
            return IntStream.rangeClosed(first, last)
                    .mapToObj(index -> generation + ":" + index)
                    .toList();
        }
    }
}
