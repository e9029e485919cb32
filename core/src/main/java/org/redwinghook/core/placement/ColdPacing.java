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

    /** Standard deviations by which the number of senders may exceed its mean. */
    private static final double VARIATION = 3;

    private final Deque<Long> sentMillis = new ArrayDeque<>();

    /**
     * Whether another request may be sent.
     *
     * @param requestsPerSecond requests per second that the endpoint can handle while it is cold; 0 for no limit
     * @param burst tolerance of the endpoint for a burst
     * @param routers number of routers that share the limit
     * @param position position of this router among all for this endpoint, evenly distributed from 0 inclusive to 1
     *     exclusive
     * @param nowMillis current time
     * @return false if this router has used up its share of the last second
     */
    public boolean allows(double requestsPerSecond, ColdBurst burst, int routers, double position, long nowMillis) {
        removeExpired(nowMillis);
        if (requestsPerSecond <= 0) {
            return true;
        }
        if (requestsPerSecond >= routers) {
            return sentMillis.size() < (int) (requestsPerSecond / routers);
        }
        return sentMillis.isEmpty() && position * routers < senders(requestsPerSecond, burst);
    }

    /**
     * Expected number of routers that send one request each second, when there are more routers than requests. Each
     * router knows only its own position, so the number that do send varies by its square root.
     */
    private static double senders(double requestsPerSecond, ColdBurst burst) {
        double limit = burst.largestBurst(requestsPerSecond);
        double root = (Math.sqrt(VARIATION * VARIATION + 4 * limit) - VARIATION) / 2;
        return Math.min(requestsPerSecond, root * root);
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
