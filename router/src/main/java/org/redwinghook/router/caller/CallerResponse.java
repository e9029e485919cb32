package org.redwinghook.router.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;

/**
 * A response to a caller that knows when its last byte has left for the caller's socket. Vert.x reports a response as
 * ended while its end may still wait for a slow caller, and a stop must not cut it.
 */
public final class CallerResponse {

    private static final String KEY = "redwinghook.response";

    private final HttpServerResponse http;
    private Future<Void> written = Future.succeededFuture();

    private CallerResponse(HttpServerResponse http) {
        this.http = http;
    }

    /**
     * Response of a request.
     *
     * @param context the request
     * @return always the same response for one request
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
     * The response itself, for everything but its end.
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
     * @return completes when the response has been written, or fails if the caller went away before
     */
    public Future<Void> end(Buffer body) {
        // Set before the end, since Vert.x calls end handlers while it runs.
        Promise<Void> promise = Promise.promise();
        written = promise.future();
        http.end(body).onComplete(promise);
        return written;
    }

    /**
     * The write of the end.
     *
     * @return completes when the response has been written; completed if it has not been ended here
     */
    public Future<Void> written() {
        return written;
    }
}
