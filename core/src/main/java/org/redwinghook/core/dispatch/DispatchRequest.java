package org.redwinghook.core.dispatch;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.placement.DelayEstimate;
import org.redwinghook.core.placement.PlacementQuery;

/**
 * A request that needs an endpoint. Times are milliseconds of a monotonic clock.
 *
 * @param id identifier of the request
 * @param scope requests with the same scope may go to the same endpoints
 * @param customer name of the customer, empty if there is none
 * @param priority rank of the request, see {@link #rank}; 0 is the most urgent
 * @param rule when an endpoint has capacity for the request
 * @param query size of the request
 * @param arrivedAtMillis time at which the request arrived
 * @param objectiveAtMillis time at which its first result is due
 * @param deadlineMillis time after which nobody waits for its response
 */
public record DispatchRequest(
        String id,
        String scope,
        String customer,
        int priority,
        CapacityRule rule,
        PlacementQuery query,
        long arrivedAtMillis,
        long objectiveAtMillis,
        long deadlineMillis) {

    /**
     * Share of the expected time that a request needs at best: an otherwise idle engine prefills at the full rate of its
     * data sheet, twice the rate that placement plans with.
     */
    private static final double BEST_CASE_SHARE = 0.5;

    /** Number of priorities of routes that are distinguished for one priority of a customer. */
    private static final int ROUTE_PRIORITIES = 100;

    /**
     * Rank of a request: the customer's priority takes precedence, and the route's orders the requests of equal customers.
     *
     * @param customerPriority priority of the customer, null if it has none
     * @param routePriority priority of the route
     * @return the rank, 0 for the most urgent
     */
    public static int rank(@Nullable Integer customerPriority, int routePriority) {
        int ofCustomer = customerPriority == null ? routePriority : customerPriority;
        return clamp(ofCustomer) * ROUTE_PRIORITIES + clamp(routePriority);
    }

    /** Priority of the customer, or of the route if the customer has none. */
    int customerPriority() {
        return priority / ROUTE_PRIORITIES;
    }

    private static int clamp(int priority) {
        return Math.max(0, Math.min(ROUTE_PRIORITIES - 1, priority));
    }

    /**
     * Work of the request.
     *
     * @return tokens, 1 for calls
     */
    public long work() {
        return Math.max(1, query.promptTokens() + query.expectedOutputTokens());
    }

    /**
     * Latest time at which the request has to be sent to meet its objective, in the best case.
     *
     * @return the time
     */
    long latestStartMillis() {
        return objectiveAtMillis - (long) (idleEstimate().firstResultMillis() * BEST_CASE_SHARE);
    }

    /**
     * Latest time at which the request has to be sent to give its first result before its deadline, in the best case. The
     * length of an output is unknown, so it does not count.
     *
     * @return the time
     */
    long latestUsefulStartMillis() {
        return deadlineMillis - (long) (idleEstimate().firstResultMillis() * BEST_CASE_SHARE);
    }

    /** Expected course of the request at an endpoint without other work. */
    DelayEstimate idleEstimate() {
        return rule.idleEstimate(query);
    }
}
