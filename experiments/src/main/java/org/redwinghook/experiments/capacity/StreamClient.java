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

/** Reads many streams concurrently and records the latency of their tokens. */
public final class StreamClient {

    private static final int MAXIMUM_STREAMS = 2_000;
    private static final int MAXIMUM_TOKENS = 100_000;
    private static final int HTTP_OK = 200;
    private static final long TIMEOUT_SECONDS = 60;

    private final Vertx vertx;
    private final HttpClient client;
    private final int port;
    private final Histogram firstTokenMicros = new Histogram(3);
    private final Histogram tokenGapMicros = new Histogram(3);
    private long tokens;
    private long failures;

    /**
     * Creates a client.
     *
     * @param vertx Vert.x instance of the client, with one event loop
     * @param port port of a router or an engine
     */
    public StreamClient(Vertx vertx, int port) {
        this.vertx = vertx;
        this.port = port;
        this.client =
                vertx.createHttpClient(new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(MAXIMUM_STREAMS));
    }

    /**
     * Opens streams at a constant rate and reads each to its end.
     *
     * @param streams number of streams
     * @param rampMillis period in which the streams start
     * @param maximumTokens maximum output tokens of each stream
     * @return completes when all streams have ended
     */
    public Future<Void> readStreams(int streams, long rampMillis, int maximumTokens) {
        List<Future<Void>> running = new ArrayList<>();
        for (int index = 0; index < streams; index++) {
            Promise<Void> completion = Promise.promise();
            int requestNumber = index;
            vertx.setTimer(1 + rampMillis * index / streams, ignored -> openStream(requestNumber, maximumTokens)
                    .onComplete(completion));
            running.add(completion.future());
        }
        return Future.join(running).timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).mapEmpty();
    }

    /**
     * Times to the first token.
     *
     * @return histogram in microseconds
     */
    public Histogram firstTokenMicros() {
        return firstTokenMicros;
    }

    /**
     * Times between tokens.
     *
     * @return histogram in microseconds
     */
    public Histogram tokenGapMicros() {
        return tokenGapMicros;
    }

    /**
     * Number of tokens read.
     *
     * @return number of events, including the end marker of each stream
     */
    public long tokens() {
        return tokens;
    }

    /**
     * Number of failed requests.
     *
     * @return number of requests that were refused or whose connection broke
     */
    public long failures() {
        return failures;
    }

    private Future<Void> openStream(int requestNumber, int maximumTokens) {
        long startNanos = System.nanoTime();
        JsonObject body = new JsonObject()
                .put("request_id", "request-" + requestNumber + "-" + startNanos)
                .put("model", FakePlatform.SERVICE)
                .put("prompt", "Draft " + requestNumber + " of " + startNanos)
                .put("max_tokens", Math.min(MAXIMUM_TOKENS, maximumTokens))
                .put("stream", true);
        return client.request(HttpMethod.POST, port, "127.0.0.1", "/v1/completions")
                .compose(request -> request.putHeader("authorization", "Bearer " + FakePlatform.credential(0))
                        .putHeader("content-type", "application/json")
                        .send(body.toBuffer()))
                .compose(response -> readEvents(response, startNanos))
                .onFailure(ignored -> failures++);
    }

    private Future<Void> readEvents(HttpClientResponse response, long startNanos) {
        if (response.statusCode() != HTTP_OK) {
            return Future.failedFuture("unexpected HTTP status " + response.statusCode());
        }
        long[] lastEventNanos = {0};
        response.handler(chunk -> {
            long nowNanos = System.nanoTime();
            int events = countEvents(chunk);
            if (events == 0) {
                return;
            }
            tokens += events;
            if (lastEventNanos[0] == 0) {
                firstTokenMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(nowNanos - startNanos));
            } else {
                tokenGapMicros.recordValue(TimeUnit.NANOSECONDS.toMicros(nowNanos - lastEventNanos[0]));
            }
            if (events > 1) {
                tokenGapMicros.recordValueWithCount(0, events - 1L);
            }
            lastEventNanos[0] = nowNanos;
        });
        return response.end();
    }

    private static int countEvents(Buffer chunk) {
        String text = chunk.toString(StandardCharsets.ISO_8859_1);
        int count = 0;
        for (int at = text.indexOf("data: "); at >= 0; at = text.indexOf("data: ", at + 1)) {
            count++;
        }
        return count;
    }
}
