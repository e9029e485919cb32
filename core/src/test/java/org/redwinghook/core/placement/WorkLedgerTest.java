package org.redwinghook.core.placement;

import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against routers that count work twice, lose it, or rely on the totals of a router that has gone. */
public class WorkLedgerTest {

    @Test
    public void removingTwiceCountsOnce() {
        WorkLedger ledger = new WorkLedger();
        RunningRequest first = new RunningRequest("engine", 100, 50);
        ledger.add(first);
        ledger.add(new RunningRequest("engine", 10, 5));
        ledger.remove(first);
        ledger.remove(first);
        Assert.assertEquals(ledger.workAt("engine", 0), new WorkTotals(1, 10, 15, 0));
    }

    @Test
    public void promptNoLongerWaitsAfterTheFirstToken() {
        RunningRequest request = new RunningRequest("engine", 100, 50);
        request.recordProducedTokens(80);
        Assert.assertEquals(request.work(), new WorkTotals(1, 0, 180, 180));
    }

    @Test
    public void totalsOfASilentRouterExpire() {
        WorkLedger ledger = new WorkLedger();
        ledger.updatePeer("other", Map.of("engine", new WorkTotals(3, 0, 0, 0)), true, 0);
        Assert.assertEquals(
                ledger.workAt("engine", WorkLedger.MAXIMUM_PEER_TOTALS_AGE_MILLIS)
                        .running(),
                3);
        Assert.assertEquals(ledger.workAt("engine", WorkLedger.MAXIMUM_PEER_TOTALS_AGE_MILLIS + 1), WorkTotals.NONE);
    }

    /** Guards against a wait for the runs of a router that is gone or has none. */
    @Test
    public void onlyLiveRoutersWithWorkAtTheEndpointAreListed() {
        WorkLedger ledger = new WorkLedger();
        WorkTotals work = new WorkTotals(1, 0, 10, 10);
        ledger.updatePeer("router-a", Map.of("engine", work), true, 0);
        ledger.updatePeer("router-b", Map.of("other", work), true, 2_000);
        ledger.updatePeer("router-c", Map.of("engine", work), true, 2_000);
        Assert.assertEquals(ledger.workOfOtherRouters("engine", 2_000), Map.of("router-a", work, "router-c", work));
        Assert.assertEquals(ledger.workOfOtherRouters("engine", 2_001), Map.of("router-c", work));
    }

    /** Guards against work that is forgotten when a silent router reports only what has changed. */
    @Test
    public void partialReportAfterASilenceBringsBackTheOtherTotals() {
        WorkLedger ledger = new WorkLedger();
        WorkTotals work = new WorkTotals(1, 0, 10, 10);
        long silent = WorkLedger.MAXIMUM_PEER_TOTALS_AGE_MILLIS + 1;
        ledger.updatePeer("other", Map.of("a", work, "b", work), true, 0);
        Assert.assertEquals(ledger.workAt("a", silent), WorkTotals.NONE);
        ledger.updatePeer("other", Map.of("a", WorkTotals.NONE), false, silent);
        Assert.assertEquals(ledger.workAt("a", silent), WorkTotals.NONE);
        Assert.assertEquals(ledger.workAt("b", silent), work);
    }

    /** Guards against sums that drift from the reports they are made of. */
    @Test
    public void sumsMatchTheNewestReportOfEachRouter() {
        WorkLedger ledger = new WorkLedger();
        Random random = new Random(7);
        int[] newest = new int[9];
        for (int step = 0; step < 2_000; step++) {
            int router = random.nextInt(newest.length);
            newest[router] = random.nextInt(4);
            WorkTotals work =
                    newest[router] == 0 ? WorkTotals.NONE : new WorkTotals(newest[router], 0, newest[router] * 10L, 0);
            ledger.updatePeer("router-" + router, Map.of("engine", work), random.nextInt(5) == 0, step / 10);
            Assert.assertEquals(
                    ledger.workAt("engine", step / 10).running(),
                    IntStream.of(newest).sum());
        }
    }

    @Test
    public void partialUpdatesLeaveOtherEndpointsUnchanged() {
        WorkLedger ledger = new WorkLedger();
        WorkTotals work = new WorkTotals(1, 0, 10, 10);
        ledger.updatePeer("other", Map.of("a", work, "b", work), true, 0);
        ledger.updatePeer("other", Map.of("a", WorkTotals.NONE), false, 1);
        Assert.assertEquals(ledger.workAt("a", 1), WorkTotals.NONE);
        Assert.assertEquals(ledger.workAt("b", 1), work);
        ledger.updatePeer("other", Map.of(), true, 2);
        Assert.assertEquals(ledger.workAt("b", 2), WorkTotals.NONE);
    }

    @Test
    public void smallChangesOfMemoryAreNotReported() {
        WorkTotals work = new WorkTotals(1, 0, 5_000, 3_000);
        Assert.assertFalse(work.differsSignificantlyFrom(new WorkTotals(1, 0, 5_000, 3_200)));
        Assert.assertTrue(work.differsSignificantlyFrom(new WorkTotals(1, 0, 5_000, 3_500)));
        Assert.assertTrue(work.differsSignificantlyFrom(new WorkTotals(2, 0, 5_000, 3_000)));
    }
}
