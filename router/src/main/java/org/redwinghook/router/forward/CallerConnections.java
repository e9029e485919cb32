package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.vertx.core.http.HttpConnection;

/** Open connections of callers and their requests in progress. Confined to one event loop. */
final class CallerConnections {

    private final Map<HttpConnection, Integer> requestsByConnection = new HashMap<>();

    void add(HttpConnection connection) {
        requestsByConnection.put(connection, 0);
        connection.closeHandler(ignored -> requestsByConnection.remove(connection));
    }

    void requestStarted(HttpConnection connection) {
        requestsByConnection.computeIfPresent(connection, (key, requests) -> requests + 1);
    }

    void requestEnded(HttpConnection connection) {
        requestsByConnection.computeIfPresent(connection, (key, requests) -> requests - 1);
    }

    /**
     * Closes the connections without a request, whose callers then open new ones to other routers.
     *
     * @return the number of closed connections
     */
    int closeIdle() {
        List<HttpConnection> idle = requestsByConnection.entrySet().stream()
                .filter(entry -> entry.getValue() == 0)
                .map(Map.Entry::getKey)
                .toList();
        idle.forEach(HttpConnection::close);
        return idle.size();
    }
}
