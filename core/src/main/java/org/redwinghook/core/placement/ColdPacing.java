package org.redwinghook.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the requests of one router to a cold endpoint. Answers endpoints that fall over when all routers send them
 * their usual load at once: each router sends its part of what the endpoint bears, in any second. Times are milliseconds
 * of a monotonic clock.
 */
public final class ColdPacing {

    private static final long SECOND_MILLIS = 1_000;

    private final Deque<Long> recordRequest = new ArrayDeque<>();

    /**
     * Whether another request may be sent.
     *
     * @param requestsPerSecond requests a second that the endpoint bears while it is cold; 0 for no limit
     * @param routers number of routers that share them
     * @param nowMillis time now
     * @return false if this router's part of the second is used up; at least one request a second is allowed
     */
    public boolean allows(double requestsPerSecond, int routers, long nowMillis) {
        removeExpired(nowMillis);
        return requestsPerSecond <= 0 || recordRequest.size() < Math.max(1, (int) (requestsPerSecond / routers));
    }

    /**
     * Notes a request.
     *
     * @param nowMillis time now
     */
    public void recordRequest(long nowMillis) {
        removeExpired(nowMillis);
        recordRequest.addLast(nowMillis);
    }

    private void removeExpired(long nowMillis) {
        while (!recordRequest.isEmpty() && nowMillis - recordRequest.peekFirst() >= SECOND_MILLIS) {
            recordRequest.removeFirst();
        }
    }
}
