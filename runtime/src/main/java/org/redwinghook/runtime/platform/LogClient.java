package org.redwinghook.runtime.platform;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.runtime.http.BoundedRequest;
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.http.MessageTooLargeException;
import org.redwinghook.runtime.json.UntrustedJson;
import org.redwinghook.runtime.settings.Address;

/**
 * Client of the platform's log service. An append that fails may still have taken effect, which only a read of the
 * stream shows.
 */
public final class LogClient {

    /** Timeout of a request to the log service, in milliseconds. */
    public static final long TIMEOUT_MILLIS = 2_000;

    private static final int MAXIMUM_CONNECTIONS = 4;
    private static final int HTTP_GONE = 410;
    private static final int HTTP_OK = 200;

    private final HttpClient client;
    private final Address address;

    /**
     * Creates a client.
     *
     * @param vertx Vert.x instance that runs the client
     * @param address address of the log service
     */
    public LogClient(Vertx vertx, Address address) {
        this.address = address;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout((int) TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
    }

    /**
     * Appends a record.
     *
     * @param stream name of the stream
     * @param data the record
     * @return the offset of the record; after a failure the record may have been appended or not
     */
    public Future<Long> append(String stream, Buffer data) {
        return client.request(HttpMethod.POST, address.port(), address.host(), "/streams/" + stream + "/records")
                .compose(request ->
                        BoundedRequest.send(request, data, TIMEOUT_MILLIS).compose(LogClient::readBody))
                .map(body -> UntrustedJson.parseObject(body).getLong("offset"))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Reads records, fewer at once if the page would exceed the size of a message.
     *
     * @param stream name of the stream
     * @param firstOffset offset to read from; offsets start at 1
     * @param maximumRecords maximum number of records to return
     * @return the records from that offset on that the log still retains
     */
    public Future<LogPage> read(String stream, long firstOffset, int maximumRecords) {
        String path = "/streams/" + stream + "/records?from=" + firstOffset + "&limit=" + maximumRecords;
        return client.request(HttpMethod.GET, address.port(), address.host(), path)
                .compose(request -> BoundedRequest.send(request, Buffer.buffer(), TIMEOUT_MILLIS)
                        .compose(LogClient::readBody))
                .map(LogClient::parsePage)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .recover(failure -> failure instanceof MessageTooLargeException && maximumRecords > 1
                        ? read(stream, firstOffset, maximumRecords / 2)
                        : Future.failedFuture(failure));
    }

    private static Future<Buffer> readBody(HttpClientResponse response) {
        int status = response.statusCode();
        return MessageBody.read(response, TIMEOUT_MILLIS)
                .compose(body -> status == HTTP_OK || status == HTTP_GONE
                        ? Future.succeededFuture(body)
                        : Future.failedFuture("log service answered with status " + status));
    }

    private static LogPage parsePage(Buffer body) {
        JsonObject page = UntrustedJson.parseObject(body);
        List<LogRecord> records = new ArrayList<>();
        JsonArray items = page.getJsonArray("records", new JsonArray());
        for (int index = 0; index < items.size(); index++) {
            JsonObject item = items.getJsonObject(index);
            records.add(new LogRecord(
                    item.getLong("offset"),
                    item.getLong("timestampMillis"),
                    Base64.getDecoder().decode(item.getString("data"))));
        }
        return new LogPage(page.getLong("first"), page.getLong("next"), records);
    }
}
