package org.redwinghook.core.replica;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against routers that start on a copy of the store without asking others, and starts that wait without need. */
public class StartGateTest {

    private static final long NEVER = Long.MAX_VALUE;

    // Era, whether other routers may be listed, time of the first report, and the time from which the router is ready.
    @DataProvider
    public Object[][] starts() {
        return new Object[][] {
            {0, true, NEVER, 0},
            {1, true, NEVER, 0},
            {2, false, NEVER, 0},
            {2, true, NEVER, 600},
            {2, true, 100, 150},
            {2, true, 590, 600},
        };
    }

    @Test(dataProvider = "starts")
    public void startWaitsForAnotherRouterAfterAReturn(long era, boolean mayHaveOthers, long reportAt, long expected) {
        StartGate gate = new StartGate();
        Assert.assertFalse(gate.isOpen(era, mayHaveOthers, 0));
        gate.recordComplete(0);
        long now = 0;
        while (!gate.isOpen(era, mayHaveOthers, now)) {
            now += 10;
            if (now == reportAt) {
                gate.recordReport(now);
            }
        }
        Assert.assertEquals(now, expected);
        Assert.assertTrue(gate.isOpen(era + 1, true, now));
    }
}
