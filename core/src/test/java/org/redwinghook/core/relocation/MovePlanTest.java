package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against copies of several routers that delay each other until the engine is gone. */
public class MovePlanTest {

    private static final EngineMemory MEMORY = new EngineMemory(34_000, 35_136, 5_100, true, true);
    private static final double NOTICE_MILLIS = 1_500;
    private static final long RUN_TOKENS = 3_500;

    /** Load: six runs of three routers at an engine that leaves; recorded at second 8.1 of a played day. */
    public static class RunsOfSeveralRouters {

        /** The link was idle between routers that took turns: 100 to 200 ms for each run of a far router. */
        @Test
        public void firstRunsOfAllRoutersStartAtOnce() {
            Assert.assertEquals(starts(0, 1, true).get(0), 0.0);
            Assert.assertEquals(starts(1, 1, true).get(0), 0.0);
        }

        /** All six copies called at once ended after the engine did, and none of the runs could stop in time. */
        @Test
        public void noMoreCopiesStartAtOnceThanTheLinkTakesInAWave() {
            List<Double> starts = new ArrayList<>();
            for (int earlier = 0; earlier < 6; earlier++) {
                starts.addAll(starts(earlier, 1, true));
            }
            Assert.assertEquals(starts.stream().filter(start -> start == 0).count(), 2);
            for (double start : starts) {
                Assert.assertTrue(start < NOTICE_MILLIS, starts.toString());
            }
        }

        @Test
        public void routersOrderTheirRunsAsOneRouterWould() {
            List<Double> together = starts(0, 4, true);
            Assert.assertEquals(starts(0, 2, true), together.subList(0, 2));
            Assert.assertEquals(starts(2, 2, true), together.subList(2, 4));
        }
    }

    /** Load: the only engine of its data centre leaves, so that each copy takes the link twice as long. */
    public static class CopiesBetweenDataCentres {

        @Test
        public void wavesHoldFewerRuns() {
            Assert.assertEquals(
                    starts(0, 3, true).stream().filter(start -> start == 0).count(), 2);
            Assert.assertEquals(
                    starts(0, 3, false).stream().filter(start -> start == 0).count(), 2);
            Assert.assertTrue(starts(0, 6, false).get(5) > starts(0, 6, true).get(5));
        }
    }

    private static List<Double> starts(int earlierRuns, int ownRuns, boolean sameDataCentre) {
        List<RunAtEngine> runs = new ArrayList<>();
        for (int number = 0; number < ownRuns; number++) {
            runs.add(new RunAtEngine("run-" + number, RUN_TOKENS, 5_000, false));
        }
        LinkQueue queue = new LinkQueue(earlierRuns * RUN_TOKENS, sameDataCentre);
        return MovePlan.of(runs, MEMORY, queue, NOTICE_MILLIS).moves().stream()
                .map(MovePlan.PlannedMove::startMillis)
                .toList();
    }
}
