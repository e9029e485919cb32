package org.redwinghook.operator;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.runtime.settings.Address;

/** Client of the processes' admin ports. */
public final class AdminClient {

    /** Longest time for a request, in milliseconds. */
    public static final long TIMEOUT_MILLIS = 2_000;

    private static final int HTTP_OK = 200;
    private static final int HTTP_ACCEPTED = 202;

    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param vertx runs it
     */
    public AdminClient(Vertx vertx) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) TIMEOUT_MILLIS));
    }

    /**
     * Reads a page of a process.
     *
     * @param process its admin port
     * @param path path of the page
     * @return the body; fails if the process cannot be reached or answers with another status than 200
     */
    public Future<Buffer> get(Address process, String path) {
        return client.request(HttpMethod.GET, process.port(), process.host(), path)
                .compose(request -> request.send())
                .compose(response -> body(response, HTTP_OK))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Offset through which a process has folded the configuration, and its sections.
     *
     * @param process its admin port
     * @return the process's summary
     */
    public Future<JsonObject> configuration(Address process) {
        return get(process, "/configuration").map(Buffer::toJsonObject);
    }

    /**
     * Posts a withdrawal.
     *
     * @param process admin port of the process
     * @param withdrawal the withdrawal
     * @return fails if the process does not take it
     */
    public Future<Buffer> withdraw(Address process, Withdrawal withdrawal) {
        JsonObject body = new JsonObject()
                .put("kind", withdrawal.kind().key())
                .put("name", withdrawal.name())
                .put("basedOn", withdrawal.basedOn());
        return client.request(HttpMethod.POST, process.port(), process.host(), "/withdrawals")
                .compose(request -> request.send(body.toBuffer()))
                .compose(response -> body(response, HTTP_ACCEPTED))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static Future<Buffer> body(HttpClientResponse response, int expected) {
        if (response.statusCode() != expected) {
            return response.body()
                    .compose(body -> Future.failedFuture("status " + response.statusCode() + " "
                            + body.toString().strip()));
        }
        return response.body();
    }
}
