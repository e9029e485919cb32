package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.redwinghook.core.routing.RetryBudget;
import org.redwinghook.core.routing.RetryLimits;

/**
 * Retry budgets, one for each service. The part that does not depend on the number of requests is divided among the
 * routers.
 */
final class ServiceRetryBudgets {

    private final Supplier<RetryLimits> limits;
    private final IntSupplier routerCount;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates the budgets.
     *
     * @param limits limits for all routers together; the length of the window must not change
     * @param routerCount number of routers
     */
    ServiceRetryBudgets(Supplier<RetryLimits> limits, IntSupplier routerCount) {
        this.limits = limits;
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
                service,
                name -> new RetryBudget(
                        1,
                        () -> limits.get().share(),
                        this::ownSlack,
                        limits.get().windowSeconds()));
    }

    private int ownSlack() {
        return (int) (limits.get().slack() / Math.max(1, routerCount.getAsInt()));
    }
}
