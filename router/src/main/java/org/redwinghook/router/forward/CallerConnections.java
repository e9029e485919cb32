package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;

import io.vertx.core.http.HttpConnection;

/** Open connections of callers and their requests in progress. Confined to one event loop. */
final class CallerConnections {

    private final MonotonicClock clock;
    private final Map<HttpConnection, Usage> usages = new HashMap<>();

    CallerConnections(MonotonicClock clock) {
        this.clock = clock;
    }

    void add(HttpConnection connection) {
        usages.put(connection, new Usage(0, clock.millis()));
        connection.closeHandler(ignored -> usages.remove(connection));
    }

    void requestStarted(HttpConnection connection) {
        usages.computeIfPresent(connection, (key, usage) -> new Usage(usage.requests + 1, clock.millis()));
    }

    void requestEnded(HttpConnection connection) {
        usages.computeIfPresent(connection, (key, usage) -> new Usage(usage.requests - 1, clock.millis()));
    }

    int size() {
        return usages.size();
    }

    /**
     * Closes connections without a request, whose callers then open new ones to other routers.
     *
     * @param mayClose decides by the time since which a connection has been idle
     * @return the number of closed connections
     */
    int closeIdle(LongPredicate mayClose) {
        List<HttpConnection> idle = usages.entrySet().stream()
                .filter(entry -> entry.getValue().requests == 0 && mayClose.test(entry.getValue().idleSinceMillis))
                .map(Map.Entry::getKey)
                .toList();
        idle.forEach(HttpConnection::close);
        return idle.size();
    }

    private record Usage(int requests, long idleSinceMillis) {}
}
