package org.redwinghook.core.admission;

import org.redwinghook.core.length.LearnedLengths;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against overload of an endpoint that has just started or turned cold. */
public class WarmUpTest {

    private static final int MAXIMUM = 32;
    private static final int MEMORY = 1_000_000;

    @Test
    public void freshEndpointGetsNoMoreThanTheColdLimitInBurst() {
        EndpointDriver driver = driver();
        for (int request = 0; request < 500; request++) {
            driver.offer("owner", "customer", 100, 4_000, 400);
        }
        Assert.assertEquals(driver.running(), WarmUpLimit.COLD_LIMIT);
    }

    @Test
    public void limitAtMostDoublesWithEachFullWindow() {
        EndpointDriver driver = driver();
        int before = driver.limit();
        for (int step = 0; step < 3_000; step++) {
            driver.offer("owner", "customer", 100, 64, 40);
            driver.step(20);
            Assert.assertTrue(driver.limit() <= 2 * before, "limit " + driver.limit() + " after " + before);
            Assert.assertTrue(driver.running() <= driver.limit());
            before = driver.limit();
        }
        Assert.assertEquals(before, MAXIMUM);
    }

    @Test
    public void limitDoesNotRiseWhileTokensAreSlow() {
        EndpointDriver driver = driver();
        for (int step = 0; step < 1_000; step++) {
            driver.offer("owner", "customer", 100, 64, 40);
            driver.step(200);
        }
        Assert.assertEquals(driver.limit(), WarmUpLimit.COLD_LIMIT);
    }

    @Test
    public void limitDoesNotRiseWithoutSufficientLoad() {
        EndpointDriver driver = driver();
        driver.warmUp(8, 20);
        for (int request = 0; request < 200; request++) {
            driver.offer("owner", "customer", 100, 64, 10);
            for (int step = 0; step < 20; step++) {
                driver.step(20);
            }
        }
        Assert.assertEquals(driver.limit(), 8);
    }

    @Test
    public void longGenerationsDoNotHoldTheLimitDown() {
        EndpointDriver driver = driver();
        for (int request = 0; request < 4; request++) {
            driver.offer("owner", "customer", 100, 20_000, 20_000);
        }
        for (int step = 0; step < 1_000; step++) {
            driver.step(20);
        }
        Assert.assertTrue(driver.limit() > WarmUpLimit.COLD_LIMIT);
    }

    @Test
    public void detectsEndpointThatTurnsColdAgain() {
        EndpointDriver driver = driver();
        driver.warmUp(MAXIMUM, 20);
        Assert.assertEquals(driver.limit(), MAXIMUM);
        for (int request = 0; request < 8; request++) {
            driver.offer("owner", "customer", 100, 4_000, 400);
        }
        for (int step = 0; step < 8; step++) {
            driver.step(150);
        }
        Assert.assertEquals(driver.limit(), WarmUpLimit.COLD_LIMIT);
    }

    @Test
    public void stalledEngineGetsNoNewWork() {
        EndpointDriver driver = driver();
        driver.warmUp(MAXIMUM, 20);
        driver.offer("owner", "customer", 100, 4_000, 400);
        driver.step(20);
        Assert.assertEquals(driver.offer("owner", "customer", 100, 4_000, 400).decision(), AdmissionDecision.ADMITTED);
        driver.step(20);
        driver.pause(500);
        Assert.assertEquals(driver.offer("owner", "customer", 100, 4_000, 400).decision(), AdmissionDecision.QUEUED);
    }

    @Test
    public void restartReturnsToTheColdLimit() {
        AdmissionController controller = controller();
        EndpointDriver driver = new EndpointDriver(controller);
        driver.warmUp(MAXIMUM, 20);
        controller.recordRestart(driver.nowMillis());
        Assert.assertEquals(driver.limit(), WarmUpLimit.COLD_LIMIT);
    }

    private static EndpointDriver driver() {
        return new EndpointDriver(controller());
    }

    private static AdmissionController controller() {
        return new AdmissionController(
                new AdmissionSettings(MAXIMUM, MEMORY, 64), new LearnedLengths(64), FairShares.EQUAL);
    }
}
