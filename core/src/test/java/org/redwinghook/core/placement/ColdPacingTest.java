package org.redwinghook.core.placement;

import org.redwinghook.core.routing.RendezvousHash;
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
                if (pacing.allows(38, ColdBurst.NONE, routers, 0, now)) {
                    pacing.recordRequest(now);
                    sent++;
                }
            }
        }
        Assert.assertEquals(sent, 36);
    }

    /** Guards against more routers than the endpoint can handle requests, each of which sends one at once. */
    @Test
    public void manyRoutersKeepTheLimitOfEachEndpoint() {
        int routers = 33;
        ColdBurst burst = new ColdBurst(1.5, 5);
        for (int endpoint = 0; endpoint < 1_000; endpoint++) {
            int sent = 0;
            for (int router = 0; router < routers; router++) {
                double position = RendezvousHash.position(RendezvousHash.hash("router-" + router), "e-" + endpoint);
                sent += new ColdPacing().allows(17, burst, routers, position, 0) ? 1 : 0;
            }
            Assert.assertTrue(sent <= burst.largestBurst(17), "endpoint " + endpoint + " sent " + sent);
            Assert.assertTrue(sent > 0, "endpoint " + endpoint);
        }
    }

    @Test
    public void windowSlides() {
        ColdPacing pacing = new ColdPacing();
        pacing.recordRequest(0);
        Assert.assertFalse(pacing.allows(1, ColdBurst.NONE, 1, 0, 999));
        Assert.assertTrue(pacing.allows(1, ColdBurst.NONE, 1, 0, 1_000));
    }

    @Test
    public void allowsAllRequestsWithoutALimit() {
        ColdPacing pacing = new ColdPacing();
        pacing.recordRequest(0);
        Assert.assertTrue(pacing.allows(0, ColdBurst.NONE, 1, 0, 0));
    }
}
