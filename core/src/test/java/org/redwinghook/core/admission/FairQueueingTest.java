package org.redwinghook.core.admission;

import org.redwinghook.core.length.LearnedLengths;
import org.testng.Assert;
import org.testng.annotations.Test;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;

/** Guards against starvation, unfair shares, unbounded queues and waits beyond the caller's deadline. */
public class FairQueueingTest {

    @Test
    public void quickRequestGoesBeforeWaitingDrafts() {
        EndpointDriver driver = fullEndpoint();
        long draft = driver.offer("owner", "a", 10, 4_000, 300).identifier();
        long quick = driver.offer("owner", "b", 10, 32, 32).identifier();
        while (!driver.isRunning(quick) && !driver.isRunning(draft)) {
            driver.step(1);
        }
        Assert.assertTrue(driver.isRunning(quick));
    }

    @Test
    public void draftIsNotStarvedByQuickRequests() {
        EndpointDriver driver = fullEndpoint();
        long draft = driver.offer("owner", "a", 10, 4_000, 300).identifier();
        long offered = driver.nowMillis();
        while (!driver.isRunning(draft) && driver.nowMillis() - offered < 20_000) {
            for (int request = 0; request < 4; request++) {
                driver.offer("owner", "b", 10, 32, 32);
            }
            driver.step(20);
        }
        Assert.assertTrue(driver.isRunning(draft), "draft still waits after 20 s");
    }

    @Test
    public void ownersGetTokensByWeightRegardlessOfDemand() {
        qt().withExamples(10)
                .withFixedSeed(3)
                .forAll(integers().between(2, 8), integers().between(1, 3))
                .checkAssert((pressure, weight) -> {
                    EndpointDriver driver = driver(new OwnerWeights(weight));
                    driver.warmUp(16, 20);
                    for (int step = 0; step < 4_000; step++) {
                        offerTimes(driver, "large", "large-customer", pressure);
                        offerTimes(driver, "small", "small-customer", 1);
                        driver.step(20);
                    }
                    double ratio = (double) driver.tokensOfOwner("small") / driver.tokensOfOwner("large");
                    Assert.assertEquals(ratio, weight, 0.25 * weight);
                });
    }

    @Test
    public void customersOfOneOwnerGetEqualTokens() {
        EndpointDriver driver = fullEndpoint();
        for (int step = 0; step < 4_000; step++) {
            offerTimes(driver, "owner", "runaway", 5);
            offerTimes(driver, "owner", "usual", 1);
            driver.step(20);
        }
        double ratio = (double) driver.tokensOfCustomer("usual") / driver.tokensOfCustomer("runaway");
        Assert.assertEquals(ratio, 1, 0.25);
    }

    @Test
    public void refusesWhenTheQueueIsFullExceptCustomersBelowTheirShare() {
        EndpointDriver driver = fullEndpoint();
        AdmissionDecision last = AdmissionDecision.QUEUED;
        int queued = 0;
        for (int request = 0; request < 1_000 && last == AdmissionDecision.QUEUED; request++) {
            last = driver.offer("owner", "runaway", 10, 4_000, 300).decision();
            queued++;
        }
        Assert.assertEquals(last, AdmissionDecision.QUEUE_FULL);
        Assert.assertTrue(queued <= 16 * 4 + 1, "queued " + queued);
        Assert.assertEquals(driver.offer("owner", "usual", 10, 4_000, 300).decision(), AdmissionDecision.QUEUED);
    }

    @Test
    public void refusesWhenTheWaitWouldExceedTheDeadline() {
        AdmissionController controller = controller(FairShares.EQUAL);
        EndpointDriver driver = new EndpointDriver(controller);
        driver.warmUp(16, 20);
        offerTimes(driver, "owner", "a", 60);
        long now = driver.nowMillis();
        long wait = controller.load(true, now).expectedWaitMillis();
        Assert.assertTrue(wait > 1, "expected wait " + wait);
        Assert.assertEquals(controller.offer(draft(9_001, now, wait / 2)), AdmissionDecision.WAIT_TOO_LONG);
        Assert.assertEquals(controller.offer(draft(9_002, now, wait * 2)), AdmissionDecision.QUEUED);
        Assert.assertTrue(controller.cancelWaiting(9_002));
        Assert.assertFalse(controller.cancelWaiting(9_002));
    }

    @Test
    public void expiredRequestLeavesTheQueue() {
        AdmissionController controller = controller(FairShares.EQUAL);
        EndpointDriver driver = new EndpointDriver(controller);
        offerTimes(driver, "owner", "a", 3);
        Assert.assertEquals(controller.load(true, 0).queued(), 1);
        Assert.assertEquals(controller.removeExpired(599_999).size(), 0);
        Assert.assertEquals(controller.removeExpired(600_000).size(), 1);
        Assert.assertEquals(controller.load(true, 0).queued(), 0);
    }

    private static WorkItem draft(long identifier, long now, long timeout) {
        return new WorkItem(identifier, "owner", "a", 0, 10, 4_000, now, now + timeout);
    }

    private static void offerTimes(EndpointDriver driver, String owner, String customer, int times) {
        for (int request = 0; request < times; request++) {
            driver.offer(owner, customer, 10, 4_000, 100);
        }
    }

    /** Creates a warm endpoint whose 16 slots are all in use. */
    private static EndpointDriver fullEndpoint() {
        EndpointDriver driver = driver(FairShares.EQUAL);
        driver.warmUp(16, 20);
        for (int request = 0; request < 16; request++) {
            driver.offer("owner", "a", 10, 4_000, 100 + 10 * request);
            driver.offer("owner", "b", 10, 32, 32);
        }
        return driver;
    }

    private static EndpointDriver driver(FairShares shares) {
        return new EndpointDriver(controller(shares));
    }

    private static AdmissionController controller(FairShares shares) {
        return new AdmissionController(new AdmissionSettings(16, 0, 64), new LearnedLengths(64), shares);
    }

    private record OwnerWeights(int smallOwnersWeight) implements FairShares {

        @Override
        public double ownerWeight(String owner) {
            return "small".equals(owner) ? smallOwnersWeight : 1;
        }

        @Override
        public double customerWeight(String customer) {
            return 1;
        }
    }
}
