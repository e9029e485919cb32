package org.redwinghook.experiments.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;

/** Reads many streams at once and records the times of their tokens. */
public final class StreamClient {

    private static final int MOST_STREAMS = 2_000;
    private static final int MOST_TOKENS = 100_000;
    private static final int HTTP_OK = 200;
    private static final long TIMEOUT_SECONDS = 60;

    private final Vertx vertx;
    private final HttpClient client;
    private final int port;
    private final Histogram firstMicros = new Histogram(3);
    private final Histogram gapMicros = new Histogram(3);
    private long tokens;
    private long failures;

    /**
     * Creates a client.
     *
     * @param vertx runs it, with one event loop
     * @param port port of a router or an engine
     */
    public StreamClient(Vertx vertx, int port) {
        this.vertx = vertx;
        this.port = port;
        this.client = vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(MOST_STREAMS));
    }

    /**
     * Opens streams evenly over a time and reads them to their end.
     *
     * @param streams number of streams
     * @param overMillis time over which they start
     * @param maximumTokens tokens of each stream
     * @return completes when all have ended
     */
    public Future<Void> read(int streams, long overMillis, int maximumTokens) {
        List<Future<Void>> running = new ArrayList<>();
        for (int index = 0; index < streams; index++) {
            Promise<Void> done = Promise.promise();
            int number = index;
            vertx.setTimer(1 + overMillis * index / streams, ignored -> open(number, maximumTokens)
                    .onComplete(done));
            running.add(done.future());
        }
        return Future.join(running).timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).mapEmpty();
    }

    /**
     * Times to the first token.
     *
     * @return microseconds
     */
    public Histogram firstMicros() {
        return firstMicros;
    }

    /**
     * Times between tokens.
     *
     * @return microseconds
     */
    public Histogram gapMicros() {
        return gapMicros;
    }

    /**
     * Tokens that were read.
     *
     * @return the number, with one end mark for each stream
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Requests that were refused or broke.
     *
     * @return the number
     */
    public long failures() {
        return failures;
    }

    private Future<Void> open(int number, int maximumTokens) {
        long start = System.nanoTime();
        JsonObject body = new JsonObject()
                .put("request_id", "request-" + number + "-" + start)
                .put("model", FakePlatform.SERVICE)
                .put("prompt", "Draft " + number + " of " + start)
                .put("max_tokens", Math.min(MOST_TOKENS, maximumTokens))
                .put("stream", true);
        return client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/completions")
                .compose(request -> request.putHeader("authorization", "Bearer " + FakePlatform.credential(0))
                        .putHeader("content-type", "application/json")
                        .send(body.toBuffer()))
                .compose(response -> follow(response, start))
                .onFailure(ignored -> failures++);
    }

    private Future<Void> follow(HttpClientResponse response, long start) {
        if (response.statusCode() != HTTP_OK) {
            return Future.failedFuture("status " + response.statusCode());
        }
        long[] last = {0};
        response.handler(chunk -> {
            long now = System.nanoTime();
            int events = events(chunk);
            if (events == 0) {
                return;
            }
            tokens += events;
            if (last[0] == 0) {
                firstMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(now - start));
            } else {
                gapMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(now - last[0]));
            }
            if (events > 1) {
                gapMicros.recordValueWithCount(0, events - 1L);
            }
            last[0] = now;
        });
        return response.end();
    }

    private static int events(Buffer chunk) {
        String text = chunk.toString(StandardCharsets.ISO_8859_1);
        int count = 0;
        for (int at = text.indexOf("data: "); at >= 0; at = text.indexOf("data: ", at + 1)) {
            count++;
        }
        return count;
    }
}
