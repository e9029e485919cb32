package org.redwinghook.core.placement;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against reports whose cost for each router grows with the number of routers, and against outdated reports. */
public class ReportIntervalTest {

    @Test
    public void messagesOfARouterAreLimited() {
        for (int receivers = 0; receivers <= 40; receivers++) {
            Assert.assertTrue(receivers * 1_000L / ReportInterval.millis(receivers) <= 100, receivers + " receivers");
        }
    }

    @Test
    public void reportsArriveWellBeforeTheyExpire() {
        Assert.assertTrue(ReportInterval.millis(1_000) * 4 < WorkLedger.MAXIMUM_PEER_TOTALS_AGE_MILLIS);
        Assert.assertEquals(ReportInterval.millis(3), 100);
    }
}
