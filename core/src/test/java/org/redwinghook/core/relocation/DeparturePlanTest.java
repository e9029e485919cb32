package org.redwinghook.core.relocation;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.message.CopyReport;
import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.Distance;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.WorkTotals;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against copies that delay each other until the engine has shut down, and against an idle link. */
public class DeparturePlanTest {

    private static final EngineMemory MEMORY = new EngineMemory(34_000, 35_136, 5_100, true);
    private static final long NOTICE_MILLIS = 1_500;
    private static final int WAVES = 20;
    private static final long KNOWN = -LinkTurns.REPORT_AGE_MILLIS;

    // Runs of one router and their memory, and how many are copied in time.
    @DataProvider
    public Object[][] runsOfOneRouter() {
        return new Object[][] {{6, 3_500L, 6}, {6, 1_000L, 6}, {2, 9_000L, 2}, {9, 3_500L, 6}};
    }

    @Test(dataProvider = "runsOfOneRouter")
    public void copiesDoNotOverlapAndRunsThatDoNotFitAreNotStarted(int runs, long tokens, int inTime) {
        DeparturePlan plan = DeparturePlan.of(
                List.of(new PendingCopies("router-a", runs, runs * tokens)),
                MEMORY,
                new DepartureTimes(0, 0, NOTICE_MILLIS, true));
        Assert.assertEquals(plan.slots().size(), inTime);
        for (int slot = 1; slot < inTime; slot++) {
            Assert.assertTrue(plan.slots().get(slot).startMillis()
                    > plan.slots().get(slot - 1).endMillis());
        }
        Assert.assertTrue(plan.slots().get(inTime - 1).endMillis() < NOTICE_MILLIS);
    }

    /** Guards against routers that start together, and against one that waits for a router that is silent or has given up. */
    @Test
    public void routerStartsWhenTheCopiesBeforeItsOwnAreExpectedToEnd() {
        LinkTurns turns = new LinkTurns("router-b", MEMORY, 0, NOTICE_MILLIS, false);
        PendingCopies own = new PendingCopies("router-b", 1, 3_000);
        Map<String, WorkTotals> others = Map.of("router-a", new WorkTotals(1, 0, 4_000, 3_000));
        Assert.assertTrue(turns.mayStart(own, KNOWN, Map.of(), 0));
        Assert.assertFalse(turns.mayStart(own, KNOWN, others, 0));
        Assert.assertFalse(turns.mayStart(own, KNOWN, others, 150));
        Assert.assertTrue(turns.mayStart(own, KNOWN, others, 170), "silent router");
        turns.record(new CopyReport("router-a", "m-1", 1, 2, 0, 180, 0, 0), 20);
        turns.record(new CopyReport("router-a", "m-1", 1, 1, 0, 900, 3, 9_000), 20);
        Assert.assertFalse(turns.mayStart(own, KNOWN, others, 199));
        Assert.assertTrue(turns.mayStart(own, KNOWN, others, 200));
        Assert.assertFalse(turns.mayStart(own, 150, others, 200), "another router may not expect it");
        Assert.assertTrue(turns.isWantedByOthers(others, 199));
        Assert.assertFalse(turns.isWantedByOthers(others, 200));
        LinkTurns shortNotice = new LinkTurns("router-b", MEMORY, 0, 200, true);
        Map<String, WorkTotals> smallRun = Map.of("router-c", new WorkTotals(1, 0, 900, 500));
        Assert.assertFalse(shortNotice.mayStart(own, KNOWN, smallRun, 0), "leaves the link to the smaller run");
        Assert.assertTrue(shortNotice.mayStart(own, KNOWN, Map.of(), 0));
    }

    /** Guards against engines that leave together and all copy to one destination, or to another data centre without need. */
    @Test
    public void destinationsAreSpreadWithinTheDataCentreWhileItHasRoom() {
        PlacementQuery query = new PlacementQuery(3_400, 300);
        List<String> leaving = List.of("m-1", "m-2");
        List<Candidate> candidates = List.of(
                candidate("near-1", Distance.LOCAL, 0),
                candidate("near-2", Distance.LOCAL, 0),
                candidate("other", Distance.NEAR, 0));
        List<Optional<String>> chosen = leaving.stream()
                .map(source -> DestinationChoice.choose(candidates, query, source, leaving)
                        .map(Candidate::id))
                .toList();
        Assert.assertEquals(chosen, List.of(Optional.of("near-1"), Optional.of("near-2")));
        List<Candidate> copying =
                List.of(candidate("near-1", Distance.LOCAL, 3_400), candidates.get(1), candidates.get(2));
        Assert.assertEquals(
                DestinationChoice.choose(copying, query, "m-1", leaving).get().id(), "near-2");
        List<Candidate> full = List.of(candidate("near-1", Distance.LOCAL, 30_000), candidates.get(2));
        Assert.assertEquals(
                DestinationChoice.choose(full, query, "m-1", leaving).get().id(), "other");
        List<Candidate> far = Collections.singletonList(candidate("far", Distance.FAR, 0));
        Assert.assertTrue(DestinationChoice.choose(far, query, "m-1", leaving).isEmpty());
    }

    /** Load: waves of four engines with 5 to 7 routers, 1 or 2 runs each, one in eight of them in prefill for up to 0.6 s. */
    @Test
    public void moreRunsOfAWaveAreSavedThanInTurns() {
        EngineMemory memory = new EngineMemory(26_899, 131_072, 19_000, true);
        long[] saved = new long[2];
        long[] late = new long[2];
        long savable = 0;
        for (int seed = 0; seed < 4 * WAVES; seed++) {
            for (int planned = 0; planned < 2; planned++) {
                DepartureReplay engine = engine(memory, 1_500, seed, 5 + seed % 3, 2);
                saved[planned] += engine.savedRuns(planned == 1);
                late[planned] += engine.lateRuns();
                savable += planned == 1 ? engine.savableRuns() : 0;
            }
        }
        String figures = "saved, late in turns %d, %d, by plan %d, %d, savable %d"
                .formatted(saved[0], late[0], saved[1], late[1], savable);
        Assert.assertTrue(saved[1] > saved[0], figures);
        Assert.assertTrue(late[1] <= late[0], figures);
        Assert.assertTrue(saved[1] <= savable, figures);
    }

    /** Guards against the loss of runs that the link and the notice allow to move. */
    @Test
    public void underOneInAHundredIsLostWhereLinkAndNoticeAllow() {
        EngineMemory memory = new EngineMemory(26_899, 131_072, 19_000, true);
        long lost = 0;
        for (long seed = 0; seed < 4 * WAVES; seed++) {
            DepartureReplay engine = engine(memory, 2_100, seed, 5, 1);
            lost += engine.runs.size() - engine.savedRuns(true);
        }
        Assert.assertTrue(lost * 100 <= 4 * WAVES * 5, lost + " lost");
    }

    /** Guards against copies that start together near the end, when only one of them can still complete. */
    @Test
    public void routersWithARunEachMoveAsManyAsTheLinkCopies() {
        for (long seed = 0; seed < WAVES; seed++) {
            long moved = engine(MEMORY, 1_500, seed, 7, 1, 3_700).savedRuns(true);
            Assert.assertTrue(moved >= 3, moved + " moved");
            Assert.assertEquals(engine(MEMORY, 1_500, seed, 2, 1, 3_700).savedRuns(true), 2);
        }
    }

    private static DepartureReplay engine(
            EngineMemory memory, double endMillis, long seed, int routers, int maximumRuns, long... tokens) {
        Random random = new Random(seed);
        DepartureReplay engine = new DepartureReplay(memory, endMillis, seed);
        for (int router = 0; router < routers; router++) {
            int runs = 1 + random.nextInt(maximumRuns);
            for (int run = 0; run < runs; run++) {
                long size = tokens.length > 0 ? tokens[0] : 3_100 + random.nextInt(800);
                double prefill = tokens.length == 0 && random.nextInt(8) == 0 ? random.nextInt(600) : 0;
                engine.runs.add(new DepartureReplay.Run("router-" + router, size, prefill));
            }
        }
        return engine;
    }

    private static Candidate candidate(String id, Distance distance, long reservedTokens) {
        int running = reservedTokens > 0 ? 1 : 0;
        WorkTotals work = new WorkTotals(running, reservedTokens, reservedTokens, 0);
        return new Candidate(id, 24, 26_899, work, 0, distance, 0, Candidate.USUAL_SLOWDOWN, false, 0);
    }
}
