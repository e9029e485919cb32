package org.redwinghook.router.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpServerRequest;

/** Requests that were read and whose response has not been written completely. Confined to one event loop. */
final class PendingRequests {

    private final Map<HttpServerRequest, Runnable> interruptions = new LinkedHashMap<>();
    private final Promise<Void> interrupted = Promise.promise();
    private boolean isInterrupted;

    /**
     * Adds a request or replaces its interruption.
     *
     * @param request the request
     * @param interruption ends the response before its normal end
     */
    void put(HttpServerRequest request, Runnable interruption) {
        interruptions.put(request, interruption);
    }

    /**
     * Removes a request whose response has been written or whose connection has closed.
     *
     * @param request the request
     * @return false if it was removed before
     */
    boolean remove(HttpServerRequest request) {
        boolean removed = interruptions.remove(request) != null;
        completeIfEmpty();
        return removed;
    }

    int size() {
        return interruptions.size();
    }

    /**
     * Announces to the callers whose response has not begun that their connection closes after it.
     *
     * @param connections their connections
     */
    void announceClose(CallerConnections connections) {
        for (HttpServerRequest request : interruptions.keySet()) {
            if (!request.response().headWritten() && connections.announceClose(request.connection())) {
                request.response().putHeader("Connection", "close");
            }
        }
    }

    /**
     * Interrupts all requests.
     *
     * @return completes when all responses have been written
     */
    Future<Void> interrupt() {
        isInterrupted = true;
        List.copyOf(interruptions.values()).forEach(Runnable::run);
        completeIfEmpty();
        return interrupted.future();
    }

    private void completeIfEmpty() {
        if (isInterrupted && interruptions.isEmpty()) {
            interrupted.tryComplete();
        }
    }
}
