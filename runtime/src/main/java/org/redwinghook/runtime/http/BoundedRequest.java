package org.redwinghook.runtime.http;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;

/** Sends requests whose responses must begin within a given time. */
public final class BoundedRequest {

    private BoundedRequest() {}

    /**
     * Sends a request and waits for the head of its response, whose status must be final. If that fails, the connection is closed: an idle timeout does
     * not end a connection on which bytes arrive that are no head.
     *
     * @param request the request, not yet sent
     * @param body its body
     * @param timeoutMillis maximum time from the request to the head of the response, in milliseconds
     * @return the response, none of whose body has been read
     */
    public static Future<HttpClientResponse> send(HttpClientRequest request, Buffer body, long timeoutMillis) {
        Promise<HttpClientResponse> response = Promise.promise();
        InterimResponses.limit(request, response::tryFail);
        request.send(body).onSuccess(response::tryComplete).onFailure(response::tryFail);
        return response.future()
                .compose(BoundedRequest::requireFinalStatus)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onFailure(failure -> request.connection().close());
    }

    private static Future<HttpClientResponse> requireFinalStatus(HttpClientResponse response) {
        return ResponseStatus.isFinal(response.statusCode())
                ? Future.succeededFuture(response)
                : Future.failedFuture("status " + response.statusCode() + " does not end an exchange");
    }
}
