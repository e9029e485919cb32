package org.redwinghook.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;
import org.testng.Assert;

/** Blocking HTTP client for tests of the stand-ins. */
public final class StandInClient {

    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int port;

    /**
     * Creates a client.
     *
     * @param port port on 127.0.0.1
     */
    public StandInClient(int port) {
        this.port = port;
    }

    public HttpResponse<String> send(String method, String path, String body, String... headers)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body, headers), HttpResponse.BodyHandlers.ofString());
    }

    public CompletableFuture<HttpResponse<String>> sendAsync(String method, String path, String body) {
        return client.sendAsync(request(method, path, body), HttpResponse.BodyHandlers.ofString());
    }

    public Stream<String> streamLines(String method, String path, String body)
            throws IOException, InterruptedException {
        return client.send(request(method, path, body), HttpResponse.BodyHandlers.ofLines())
                .body();
    }

    public JsonObject getJson(String path) throws IOException, InterruptedException {
        return new JsonObject(send("GET", path, "").body());
    }

    public static List<String> eventData(String events) {
        return events.lines()
                .filter(line -> line.startsWith("data: "))
                .map(line -> line.substring("data: ".length()))
                .toList();
    }

    public static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            Assert.assertTrue(System.nanoTime() < deadlineNanos, "the condition did not become true");
            Thread.sleep(2);
        }
    }

    private HttpRequest request(String method, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .header("content-type", "application/json");
        return (headers.length == 0 ? request : request.headers(headers)).build();
    }
}
