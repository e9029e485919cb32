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
    private long lastOpenedAtMillis = Long.MIN_VALUE;

    CallerConnections(MonotonicClock clock) {
        this.clock = clock;
    }

    void add(HttpConnection connection) {
        long now = clock.millis();
        lastOpenedAtMillis = now;
        usages.put(connection, new Usage(0, now, now, false));
        connection.closeHandler(ignored -> usages.remove(connection));
    }

    void requestStarted(HttpConnection connection) {
        usages.computeIfPresent(connection, (key, usage) -> usage.withRequests(usage.requests + 1, clock.millis()));
    }

    void requestEnded(HttpConnection connection) {
        usages.computeIfPresent(connection, (key, usage) -> usage.withRequests(usage.requests - 1, clock.millis()));
    }

    /**
     * Time at which a connection was opened.
     *
     * @param connection the connection
     * @return the time, in the distant past if it has closed
     */
    long openedAtMillis(HttpConnection connection) {
        Usage usage = usages.get(connection);
        return usage == null ? Long.MIN_VALUE : usage.openedAtMillis;
    }

    /**
     * Time at which the newest connection was opened.
     *
     * @return the time, in the distant past if there was none
     */
    long lastOpenedAtMillis() {
        return lastOpenedAtMillis;
    }

    /**
     * Records that a response announces the end of its connection.
     *
     * @param connection the connection
     * @return false if an earlier response announced it, so that the caller does not expect any further request to run
     */
    boolean announceClose(HttpConnection connection) {
        Usage before = usages.get(connection);
        if (before == null) {
            return true;
        }
        usages.put(connection, new Usage(before.requests, before.openedAtMillis, before.idleSinceMillis, true));
        return !before.closeAnnounced;
    }

    /**
     * Closes a connection if its end was announced and it has no request.
     *
     * @param connection the connection
     */
    void closeAnnounced(HttpConnection connection) {
        Usage usage = usages.get(connection);
        if (usage != null && usage.closeAnnounced && usage.requests == 0) {
            connection.close();
        }
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

    private record Usage(int requests, long openedAtMillis, long idleSinceMillis, boolean closeAnnounced) {

        Usage withRequests(int newRequests, long nowMillis) {
            return new Usage(newRequests, openedAtMillis, nowMillis, closeAnnounced);
        }
    }
}
