package org.redwinghook.router.forward;

import java.util.Set;

import org.redwinghook.core.dispatch.CapacityRule;
import org.redwinghook.core.dispatch.DispatchRequest;
import org.redwinghook.core.forward.CustomerAccess;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.forward.RequestKind;
import org.redwinghook.core.forward.Route;
import org.redwinghook.core.placement.PlacementQuery;

/** A request that waits for its first endpoint, and what happens when its wait ends. */
final class WaitingRequest {

    /** Receives the end of the wait, which happens at most once. */
    interface Listener {

        /**
         * Handles an endpoint with capacity.
         *
         * @param endpoint the endpoint
         */
        void handleEndpoint(KnownEndpoint endpoint);

        /**
         * Handles the end of a wait without an endpoint.
         *
         * @param cause cause to report to the caller
         */
        void handleRefusal(RefusalCause cause);
    }

    /** Callers leave a stream without an event after the longest of this time and the two multiples below. */
    private static final long LEAST_ABANDONMENT_MILLIS = 2_000;

    private static final long ABANDONMENT_OBJECTIVES = 4;
    private static final long ABANDONMENT_GAPS = 8;

    private final CallerExchange caller;
    private final Listener listener;
    private String service;
    private DispatchRequest request;
    private final long waitingSinceMillis;
    private boolean hasWaited;
    private boolean isEnded;

    WaitingRequest(CallerExchange caller, CapacityRule rule, PlacementQuery query, long nowMillis, Listener listener) {
        this.caller = caller;
        this.service = caller.service();
        this.request = describe(caller, rule, query, nowMillis);
        this.listener = listener;
        this.waitingSinceMillis = nowMillis;
    }

    /**
     * Describes a request for the decisions on queues.
     *
     * @param caller the request
     * @param rule when an endpoint has capacity for it
     * @param query its size
     * @param nowMillis current time
     * @return the description
     */
    static DispatchRequest describe(CallerExchange caller, CapacityRule rule, PlacementQuery query, long nowMillis) {
        CustomerAccess access = caller.access();
        Integer customerPriority = access == null ? null : access.priority();
        long arrivedAtMillis = nowMillis - caller.elapsedMillis();
        return new DispatchRequest(
                caller.requestId(),
                scope(caller),
                access == null ? "" : access.customer(),
                DispatchRequest.rank(customerPriority, caller.route().priority()),
                rule,
                query,
                arrivedAtMillis,
                arrivedAtMillis + caller.route().latencyObjectiveMillis(),
                Math.min(nowMillis + caller.remainingMillis(), arrivedAtMillis + abandonmentMillis(caller.route())));
    }

    private static String scope(CallerExchange caller) {
        CustomerAccess access = caller.access();
        Set<String> regions = access == null ? null : access.allowedRegions();
        String version = caller.requiredVersion();
        return caller.route().name()
                + (regions == null ? "" : " in " + regions.stream().sorted().toList())
                + (version == null ? "" : " at " + version);
    }

    /** Time after which the caller of a stream without any event leaves. */
    private static long abandonmentMillis(Route route) {
        if (route.kind() != RequestKind.STREAMING) {
            return Long.MAX_VALUE / 2;
        }
        return Math.max(
                LEAST_ABANDONMENT_MILLIS,
                Math.max(
                        ABANDONMENT_OBJECTIVES * route.latencyObjectiveMillis(),
                        ABANDONMENT_GAPS * route.gapObjectiveMillis()));
    }

    CallerExchange caller() {
        return caller;
    }

    String service() {
        return service;
    }

    DispatchRequest request() {
        return request;
    }

    Listener listener() {
        return listener;
    }

    /** Describes the request again, since its route or customer has changed. */
    void update(long nowMillis) {
        service = caller.service();
        request = describe(caller, request.rule(), request.query(), nowMillis);
    }

    long waitingSinceMillis() {
        return waitingSinceMillis;
    }

    /** Whether the request was not sent at once. */
    boolean hasWaited() {
        return hasWaited;
    }

    boolean isWaiting() {
        return hasWaited && !isEnded;
    }

    void setEnded() {
        isEnded = true;
    }

    /** Records that the request was not sent at once. */
    void setWaited() {
        hasWaited = true;
    }
}
