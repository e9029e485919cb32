package org.redwinghook.core.forward;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a router that takes a request for new although it waited in the backlog of the event loop. */
public class LoopDelayTest {

    @Test
    public void loopThatTicksInTimeIsNotLate() {
        LoopDelay delay = new LoopDelay(0);
        for (long now = 110; now <= 1_000; now += 110) {
            delay.recordTick(now);
            Assert.assertEquals(delay.millis(now + 50), 0);
            Assert.assertFalse(delay.isLate(now + 50));
        }
    }

    @Test
    public void requestsThatAreReadRightAfterABlockWaitedForItsTime() {
        LoopDelay delay = new LoopDelay(0);
        Assert.assertEquals(delay.millis(900), 800);
        delay.recordTick(1_000);
        delay.recordTick(1_000);
        Assert.assertEquals(delay.millis(1_001), 900);
        Assert.assertEquals(delay.averageWaitMillis(1_001), 450);
        Assert.assertEquals(delay.millis(1_101), 0);
    }

    @Test
    public void loopStaysLateForTheTimeOfItsBacklog() {
        LoopDelay delay = new LoopDelay(0);
        delay.recordTick(1_000);
        for (long now = 1_000; now <= 1_900; now += 100) {
            delay.recordTick(now);
            Assert.assertTrue(delay.isLate(now), "at " + now);
        }
        Assert.assertFalse(delay.isLate(1_901));
    }
}
