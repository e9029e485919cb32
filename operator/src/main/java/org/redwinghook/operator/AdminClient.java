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
    public static final long REQUEST_TIMEOUT_MILLIS = 2_000;

    private static final int HTTP_OK = 200;
    private static final int HTTP_ACCEPTED = 202;

    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param vertx runs it
     */
    public AdminClient(Vertx vertx) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) REQUEST_TIMEOUT_MILLIS));
    }

    /**
     * Reads a page of a process.
     *
     * @param adminAddress its admin port
     * @param path path of the page
     * @return the body; fails if the process cannot be reached or answers with another status than 200
     */
    public Future<Buffer> get(Address adminAddress, String path) {
        return client.request(HttpMethod.GET, adminAddress.port(), adminAddress.host(), path)
                .compose(request -> request.send())
                .compose(response -> readBody(response, HTTP_OK))
                .timeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Offset through which a process has folded the configuration, and its sections.
     *
     * @param adminAddress its admin port
     * @return the process's summary
     */
    public Future<JsonObject> getConfiguration(Address adminAddress) {
        return get(adminAddress, "/configuration").map(Buffer::toJsonObject);
    }

    /**
     * Posts a withdrawal.
     *
     * @param adminAddress admin port of the process
     * @param withdrawal the withdrawal
     * @return fails if the process does not take it
     */
    public Future<Buffer> postWithdrawal(Address adminAddress, Withdrawal withdrawal) {
        JsonObject body = new JsonObject()
                .put("kind", withdrawal.kind().key())
                .put("name", withdrawal.name())
                .put("basedOn", withdrawal.basedOn());
        return client.request(HttpMethod.POST, adminAddress.port(), adminAddress.host(), "/withdrawals")
                .compose(request -> request.send(body.toBuffer()))
                .compose(response -> readBody(response, HTTP_ACCEPTED))
                .timeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static Future<Buffer> readBody(HttpClientResponse response, int expectedStatus) {
        if (response.statusCode() != expectedStatus) {
            return response.body()
                    .compose(body -> Future.failedFuture("status " + response.statusCode() + " "
                            + body.toString().strip()));
        }
        return response.body();
    }
}
