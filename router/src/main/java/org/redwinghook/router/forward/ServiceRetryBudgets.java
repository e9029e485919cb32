package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.redwinghook.core.routing.RetryBudget;

/**
 * Retry budgets, one for each service. The part that does not depend on the number of requests is divided among the
 * routers.
 */
final class ServiceRetryBudgets {

    private final double share;
    private final int slack;
    private final IntSupplier routerCount;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param share retries as a share of the requests
     * @param slack retries that all routers together may always send in a window of the budget
     * @param routerCount number of routers
     */
    ServiceRetryBudgets(double share, int slack, IntSupplier routerCount) {
        this.share = share;
        this.slack = slack;
        this.routerCount = routerCount;
    }

    void requestStarted(String service, long nowMillis) {
        budget(service).requestStarted(nowMillis);
    }

    boolean tryRetry(String service, long nowMillis) {
        return budget(service).tryRetry(0, nowMillis);
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service, name -> new RetryBudget(1, share, () -> slack / Math.max(1, routerCount.getAsInt())));
    }
}
