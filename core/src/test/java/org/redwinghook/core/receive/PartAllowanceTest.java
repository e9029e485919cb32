package org.redwinghook.core.receive;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a peer that keeps an event loop busy with parts of a few bytes. */
public class PartAllowanceTest {

    /** An engine that sends an event of a few tokens every 30 ms, and 200 events at once after a pause. */
    @Test
    public void streamOfAnEngineIsNeverDelayed() {
        PartAllowance allowance = new PartAllowance(1_024, 5);
        for (long now = 0; now < 60_000; now += 30) {
            Assert.assertEquals(allowance.take(now % 6_000 == 0 ? 200 : 1, now), 0);
        }
    }

    /** An engine that sends 65 Mbit/s of events of three bytes, 2,700 in each read. */
    @Test
    public void partsWithoutEndAreProcessedAtTheLongTermRate() {
        PartAllowance allowance = new PartAllowance(1_024, 5);
        long parts = 0;
        long now = 0;
        while (now < 10_000) {
            parts += 2_700;
            now += allowance.take(2_700, now);
        }
        Assert.assertTrue(parts <= 1_024 + 5 * now + 2_700, parts + " parts in " + now + " ms");
    }
}
