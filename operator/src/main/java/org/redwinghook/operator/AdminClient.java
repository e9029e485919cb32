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
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.settings.Address;

/** HTTP client for the admin ports of processes. */
public final class AdminClient {

    /** Timeout of connecting, and of a whole request, in milliseconds. */
    public static final long REQUEST_TIMEOUT_MILLIS = 2_000;

    private static final int HTTP_OK = 200;
    private static final int HTTP_ACCEPTED = 202;

    private final HttpClient client;

    /**
     * Creates a client.
     *
     * @param vertx Vert.x instance that runs the HTTP client
     */
    public AdminClient(Vertx vertx) {
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) REQUEST_TIMEOUT_MILLIS));
    }

    /**
     * Sends a GET request.
     *
     * @param adminAddress admin port of the process
     * @param path path of the resource
     * @return the response body; fails if the process cannot be reached or responds with a status other than 200
     */
    public Future<Buffer> get(Address adminAddress, String path) {
        return client.request(HttpMethod.GET, adminAddress.port(), adminAddress.host(), path)
                .compose(request -> request.send().compose(response -> readBody(response, HTTP_OK)))
                .timeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Reads the summary of the configuration that is in force in a process.
     *
     * @param adminAddress admin port of the process
     * @return the summary: {@code offset} through which the process has applied the log, and its {@code sections}
     */
    public Future<JsonObject> getConfiguration(Address adminAddress) {
        return get(adminAddress, "/configuration").map(Buffer::toJsonObject);
    }

    /**
     * Posts a withdrawal to a process.
     *
     * @param adminAddress admin port of the process
     * @param withdrawal the withdrawal
     * @return the response body; fails if the process does not accept the withdrawal
     */
    public Future<Buffer> postWithdrawal(Address adminAddress, Withdrawal withdrawal) {
        JsonObject body = new JsonObject()
                .put("kind", withdrawal.kind().key())
                .put("name", withdrawal.name())
                .put("basedOn", withdrawal.basedOn());
        return client.request(HttpMethod.POST, adminAddress.port(), adminAddress.host(), "/withdrawals")
                .compose(
                        request -> request.send(body.toBuffer()).compose(response -> readBody(response, HTTP_ACCEPTED)))
                .timeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static Future<Buffer> readBody(HttpClientResponse response, int expectedStatus) {
        if (response.statusCode() != expectedStatus) {
            return MessageBody.read(response, REQUEST_TIMEOUT_MILLIS)
                    .compose(body -> Future.failedFuture("status " + response.statusCode() + " "
                            + body.toString().strip()));
        }
        return MessageBody.read(response, REQUEST_TIMEOUT_MILLIS);
    }
}
