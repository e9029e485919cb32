package org.redwinghook.core.routing;

import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;

/** Guards against retries that multiply the load of a service that is already failing. */
public class RetryBudgetTest {

    @Test
    public void retriesStayWithinTheShareWhenHalfOfTheRequestsFail() {
        qt().withExamples(20)
                .withFixedSeed(2)
                .forAll(integers().between(20, 2_000), integers().between(1, 1_000))
                .checkAssert((perSecond, seed) -> {
                    Random random = new Random(seed);
                    RetryBudget budget = new RetryBudget(3, 0.2);
                    int retries = 0;
                    int requests = 30 * perSecond;
                    for (int request = 0; request < requests; request++) {
                        long now = 1_000L * request / perSecond;
                        budget.requestStarted(now);
                        int attempts = 1;
                        while (random.nextBoolean() && budget.tryRetry(attempts, now)) {
                            attempts++;
                            retries++;
                        }
                        Assert.assertTrue(attempts <= 3);
                    }
                    Assert.assertTrue(retries <= 0.2 * requests + 3, retries + " of " + requests);
                });
    }

    @Test
    public void routerWithFewRequestsMayRetryAFewTimes() {
        RetryBudget budget = new RetryBudget(3, 0.2);
        budget.requestStarted(0);
        Assert.assertTrue(budget.tryRetry(1, 0));
        Assert.assertTrue(budget.tryRetry(2, 0));
        Assert.assertFalse(budget.tryRetry(3, 0));
    }

    @Test
    public void budgetIsRestoredWhenTheWindowHasPassed() {
        RetryBudget budget = new RetryBudget(3, 0.2);
        for (int retry = 0; retry < 3; retry++) {
            Assert.assertTrue(budget.tryRetry(1, 500));
        }
        Assert.assertFalse(budget.tryRetry(1, 9_999));
        Assert.assertTrue(budget.tryRetry(1, 10_000));
    }

    @Test
    public void minimumRetriesFollowTheSupplier() {
        int[] minimum = {2};
        RetryBudget budget = new RetryBudget(3, () -> 0.1, () -> minimum[0], 10);
        Assert.assertTrue(budget.tryRetry(1, 1_000));
        Assert.assertTrue(budget.tryRetry(1, 1_000));
        Assert.assertFalse(budget.tryRetry(1, 1_000));
        minimum[0] = 3;
        Assert.assertTrue(budget.tryRetry(1, 1_000));
    }
}
