package org.redwinghook.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the rate of one router's requests to a cold endpoint. A cold endpoint fails if all routers send it their usual
 * load at once, so each router sends at most its share of the requests that the endpoint can handle in any second.
 * Times are milliseconds of a monotonic clock.
 */
public final class ColdPacing {

    private static final long SECOND_MILLIS = 1_000;

    private final Deque<Long> sentMillis = new ArrayDeque<>();

    /**
     * Whether another request may be sent.
     *
     * @param requestsPerSecond requests per second that the endpoint can handle while it is cold; 0 for no limit
     * @param routers number of routers that share the limit
     * @param nowMillis current time
     * @return false if this router has used up its share of the last second; at least one request per second is allowed
     */
    public boolean allows(double requestsPerSecond, int routers, long nowMillis) {
        removeExpired(nowMillis);
        return requestsPerSecond <= 0 || sentMillis.size() < Math.max(1, (int) (requestsPerSecond / routers));
    }

    /**
     * Records a sent request.
     *
     * @param nowMillis current time
     */
    public void recordRequest(long nowMillis) {
        removeExpired(nowMillis);
        sentMillis.addLast(nowMillis);
    }

    private void removeExpired(long nowMillis) {
        while (!sentMillis.isEmpty() && nowMillis - sentMillis.peekFirst() >= SECOND_MILLIS) {
            sentMillis.removeFirst();
        }
    }
}
