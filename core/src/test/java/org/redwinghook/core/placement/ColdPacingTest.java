package org.redwinghook.core.placement;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against routers that together send a cold endpoint more requests than it can handle. Load: a burst right after
 * its start.
 */
public class ColdPacingTest {

    @Test
    public void routersTogetherKeepTheLimitInAnySecond() {
        int routers = 4;
        int sent = 0;
        for (int router = 0; router < routers; router++) {
            ColdPacing pacing = new ColdPacing();
            for (long now = 0; now < 1_000; now += 5) {
                if (pacing.allows(38, routers, now)) {
                    pacing.recordRequest(now);
                    sent++;
                }
            }
        }
        Assert.assertEquals(sent, 36);
    }

    @Test
    public void windowSlides() {
        ColdPacing pacing = new ColdPacing();
        pacing.recordRequest(0);
        Assert.assertFalse(pacing.allows(1, 1, 999));
        Assert.assertTrue(pacing.allows(1, 1, 1_000));
    }

    @Test
    public void allowsAllRequestsWithoutALimit() {
        ColdPacing pacing = new ColdPacing();
        pacing.recordRequest(0);
        Assert.assertTrue(pacing.allows(0, 1, 0));
    }
}
