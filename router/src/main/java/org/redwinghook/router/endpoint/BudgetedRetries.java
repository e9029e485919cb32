package org.redwinghook.router.endpoint;

import java.util.concurrent.TimeUnit;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Rules;
import org.redwinghook.core.routing.RetryBudget;
import org.redwinghook.runtime.config.ConfigurationSource;

/** Limits retries to the share of requests that the configuration allows. */
public final class BudgetedRetries implements RetryPermission {

    private Rules rules;
    private RetryBudget budget;

    /**
     * Creates a retry limit that follows the configuration.
     *
     * @param configuration source of the configuration in force
     */
    public BudgetedRetries(ConfigurationSource configuration) {
        rules = configuration.current().rules();
        budget = createBudget(rules);
        configuration.onChange(this::updateRules);
    }

    @Override
    public void requestStarted() {
        budget.requestStarted(nowMillis());
    }

    @Override
    public boolean tryRetry(int attempts) {
        return budget.tryRetry(attempts, nowMillis());
    }

    private void updateRules(Configuration configuration) {
        if (!configuration.rules().equals(rules)) {
            rules = configuration.rules();
            budget = createBudget(rules);
        }
    }

    private static RetryBudget createBudget(Rules rules) {
        return new RetryBudget(rules.attempts(), rules.retryShare());
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
