package org.redwinghook.core.forward;

/**
 * Decides when a stopping router closes its connections and its port. Load: restarts of routers with few requests, to
 * which the load balancer sends new connections until it has noticed the stop. Times are milliseconds of a monotonic
 * clock.
 */
public final class StopTiming {

    /**
     * Time in which the load balancer notices a stop, in milliseconds: two failed readiness checks, one a second, and the
     * connections that it opened before.
     */
    private static final long NOTICE_MILLIS = 2_500;

    /** Time in which the first request of a new connection arrives, in milliseconds: a few round trips between regions. */
    private static final long FIRST_REQUEST_MILLIS = 500;

    /**
     * Time without new connections after which a port closes, in milliseconds. A load balancer that has too few other
     * routers sends connections to a stopping one again.
     */
    private static final long NO_CONNECTION_MILLIS = 1_000;

    private final long noticedAtMillis;
    private final long stopsAtMillis;

    /**
     * Creates the decision.
     *
     * @param startedAtMillis time of the stop signal
     * @param stopsAtMillis latest time at which the router closes its port
     */
    public StopTiming(long startedAtMillis, long stopsAtMillis) {
        this.noticedAtMillis = startedAtMillis + Math.min(NOTICE_MILLIS, (stopsAtMillis - startedAtMillis) / 2);
        this.stopsAtMillis = stopsAtMillis;
    }

    /**
     * Whether an idle connection may be closed, so that its caller opens one to another router.
     *
     * @param idleSinceMillis time at which the connection was opened or its last response ended
     * @param nowMillis current time
     * @return false if its next request may still be served
     */
    public boolean mayCloseIdleConnection(long idleSinceMillis, long nowMillis) {
        return nowMillis >= noticedAtMillis && nowMillis - idleSinceMillis >= FIRST_REQUEST_MILLIS;
    }

    /**
     * Whether a connection shows that the load balancer has too few routers left that do not stop.
     *
     * @param openedAtMillis time at which the connection was opened
     * @return whether it was opened although the load balancer has noticed the stop
     */
    public boolean isOpenedAfterNotice(long openedAtMillis) {
        return openedAtMillis >= noticedAtMillis;
    }

    /**
     * Whether the router may close its port.
     *
     * @param runningRequests requests without a complete response
     * @param openConnections connections of callers
     * @param lastOpenedAtMillis time at which the newest connection was opened
     * @param nowMillis current time
     * @return false if callers still depend on the router
     */
    public boolean mayClosePort(int runningRequests, int openConnections, long lastOpenedAtMillis, long nowMillis) {
        if (isOver(nowMillis)) {
            return true;
        }
        boolean isUnused = runningRequests == 0 && openConnections == 0;
        boolean isChosenAgain =
                lastOpenedAtMillis >= noticedAtMillis && nowMillis - lastOpenedAtMillis < NO_CONNECTION_MILLIS;
        return nowMillis >= noticedAtMillis && isUnused && !isChosenAgain;
    }

    /**
     * Whether the time for running requests is over.
     *
     * @param nowMillis current time
     * @return whether the requests that still run are interrupted
     */
    public boolean isOver(long nowMillis) {
        return nowMillis >= stopsAtMillis;
    }
}
