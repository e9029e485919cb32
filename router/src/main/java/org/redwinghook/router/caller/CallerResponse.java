package org.redwinghook.router.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;

/**
 * Response to a caller that tracks when its last byte has been written to the caller's socket. Vert.x reports a
 * response as ended while its last part may still wait for a slow caller, and a shutdown must not truncate it.
 */
public final class CallerResponse {

    private static final String KEY = "redwinghook.response";

    private final HttpServerResponse http;
    private Future<Void> written = Future.succeededFuture();

    private CallerResponse(HttpServerResponse http) {
        this.http = http;
    }

    /**
     * Returns the response of a request.
     *
     * @param context the request
     * @return the response, the same object for each call with one request
     */
    public static CallerResponse of(RoutingContext context) {
        CallerResponse existing = context.get(KEY);
        if (existing != null) {
            return existing;
        }
        CallerResponse created = new CallerResponse(context.response());
        context.put(KEY, created);
        return created;
    }

    /**
     * Returns the underlying HTTP response, for everything except ending it.
     *
     * @return the response
     */
    public HttpServerResponse http() {
        return http;
    }

    /**
     * Ends the response.
     *
     * @param body last part of the body
     * @return a future that completes when the response has been written, or fails if the caller's connection closed
     *     before
     */
    public Future<Void> end(Buffer body) {
        // The future is set before the call, since Vert.x calls end handlers within it.
        Promise<Void> promise = Promise.promise();
        written = promise.future();
        http.end(body).onComplete(promise);
        return written;
    }

    /**
     * Returns the state of the write that ends the response.
     *
     * @return a future that completes when the response has been written; already completed if {@link #end} was not
     *     called
     */
    public Future<Void> written() {
        return written;
    }
}
