package org.redwinghook.core.forward;

/**
 * Decides which requests a stopping router still takes. Load: a restart while callers keep sending on open connections; a
 * request that the router cannot finish would be cut off, while a refusal lets its caller use another router. Times are
 * milliseconds of a monotonic clock.
 */
public final class StopAdmission {

    /**
     * Time after the stop signal in which a generation is taken if its typical duration fits, in milliseconds; later ones
     * only if their longest one does. Until the load balancer has noticed the stop, the caller's next try may reach
     * another stopping router. The platform allows a cut only for requests of the first 3 s after the signal, which a
     * busy VM handles late.
     */
    private static final long TYPICAL_DURATION_MILLIS = 2_500;

    /** Retry delay while other routers take new connections, in milliseconds. */
    private static final long OTHER_ROUTER_RETRY_MILLIS = 50;

    /** Shortest retry delay while no other router takes new connections, in milliseconds: the start of a router. */
    private static final long ROUTER_START_MILLIS = 1_000;

    /** Time reserved for the transfer of a response, in milliseconds. */
    private static final double RESPONSE_MARGIN_MILLIS = 250;

    private final long startedAtMillis;
    private final long stopsAtMillis;

    /**
     * Creates the decision.
     *
     * @param startedAtMillis time of the stop signal
     * @param stopsAtMillis time at which the router closes its connections
     */
    public StopAdmission(long startedAtMillis, long stopsAtMillis) {
        this.startedAtMillis = startedAtMillis;
        this.stopsAtMillis = stopsAtMillis;
    }

    /**
     * Whether a call will end before the router stops.
     *
     * @param longestMillis learned duration that nearly no call of the service exceeds
     * @param remainingMillis time after which the caller or the route gives up
     * @param nowMillis current time
     * @return false if the call must be refused
     */
    public boolean mayTakeCall(double longestMillis, long remainingMillis, long nowMillis) {
        return endsInTime(longestMillis, remainingMillis, nowMillis);
    }

    /**
     * Whether a generation will end before the router stops.
     *
     * @param typicalMillis duration of a typical generation of the size
     * @param longestMillis duration that nearly no generation of the size exceeds
     * @param remainingMillis time after which the caller or the route gives up
     * @param nowMillis current time
     * @return false if the generation must be refused
     */
    public boolean mayTakeGeneration(double typicalMillis, double longestMillis, long remainingMillis, long nowMillis) {
        boolean isEarly = nowMillis - startedAtMillis < TYPICAL_DURATION_MILLIS;
        return endsInTime(isEarly ? typicalMillis : longestMillis, remainingMillis, nowMillis);
    }

    /**
     * Whether a call that may run again is taken while no other router takes new connections. A refused caller would only
     * reach another stopping router, so the call is taken if it is more likely to end in time than not.
     *
     * @param typicalMillis learned duration of a typical call of the service
     * @param remainingMillis time after which the caller or the route gives up
     * @param nowMillis current time
     * @return false if the call must be refused
     */
    public boolean mayTakeCallAsLastRouter(double typicalMillis, long remainingMillis, long nowMillis) {
        return nowMillis + Math.min(typicalMillis, remainingMillis) <= stopsAtMillis;
    }

    /**
     * Time after which a refused caller should try again. Routers stop in turn, so those that began before this one are
     * back when it has stopped.
     *
     * @param isLastRouter whether no other router takes new connections
     * @param nowMillis current time
     * @return the delay in milliseconds
     */
    public long retryAfterMillis(boolean isLastRouter, long nowMillis) {
        return isLastRouter ? Math.max(ROUTER_START_MILLIS, stopsAtMillis - nowMillis) : OTHER_ROUTER_RETRY_MILLIS;
    }

    private boolean endsInTime(double longestMillis, long remainingMillis, long nowMillis) {
        return nowMillis + Math.min(longestMillis, remainingMillis) + RESPONSE_MARGIN_MILLIS <= stopsAtMillis;
    }
}
