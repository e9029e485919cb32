package org.redwinghook.core.origin;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards the store against reads of many routers at the same time, and resumed streams against long pauses. */
public class OriginReadDelayTest {

    @Test
    public void pausesGrowToTwoSeconds() {
        Assert.assertEquals(OriginReadDelay.afterFailuresMillis(1, 0), 250);
        Assert.assertEquals(OriginReadDelay.afterFailuresMillis(2, 0.5), 750);
        Assert.assertEquals(OriginReadDelay.afterFailuresMillis(4, 0), 1_000);
        Assert.assertEquals(OriginReadDelay.afterFailuresMillis(1_000, 0.9999), 1_999);
    }

    @Test
    public void firstReadsOfAllRoutersAreSpread() {
        Assert.assertEquals(OriginReadDelay.firstMillis(3, 0.5), 15);
        Assert.assertEquals(OriginReadDelay.firstMillis(360, 0.5), 250);
    }
}
