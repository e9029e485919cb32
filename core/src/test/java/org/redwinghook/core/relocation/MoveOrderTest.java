package org.redwinghook.core.relocation;

import java.util.Arrays;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against runs that are lost when their engine leaves although the link could have copied them. */
public class MoveOrderTest {

    private static final EngineMemory MEMORY = new EngineMemory(34_000, 35_136, 5_100, true);
    private static final double NOTICE_MILLIS = 1_500;

    /**
     * Load: an engine leaves that has several long runs, one that ends soon and one that may restart at another engine.
     */
    public static class MixedRuns {

        @Test
        public void runsThatCannotCompleteInTimeGoFirstByTimeOfCopy() {
            List<RunAtEngine> ordered = MoveOrder.order(
                    List.of(
                            new RunAtEngine("ends", 1_000, 200, false),
                            new RunAtEngine("large", 5_000, 9_000, false),
                            new RunAtEngine("small", 2_000, 9_000, false),
                            new RunAtEngine("resumable", 2_000, 9_000, true)),
                    MEMORY,
                    NOTICE_MILLIS);
            Assert.assertEquals(
                    ordered.stream().map(RunAtEngine::requestId).toList(), List.of("small", "large", "ends"));
        }
    }

    /** Load: runs of several routers share the link of an engine that leaves. */
    public static class SeveralRouters {

        private static final int CALL_MILLIS = 60;

        @Test
        public void waitsForEarlierRoutersWhileTheLinkHasNoTimeForBoth() {
            Assert.assertFalse(MoveOrder.mayStartCopying(3_000, 3_000, MEMORY, 100, NOTICE_MILLIS));
            Assert.assertTrue(MoveOrder.mayStartCopying(0, 3_000, MEMORY, 100, NOTICE_MILLIS));
            Assert.assertTrue(MoveOrder.mayStartCopying(3_000, 3_000, MEMORY, NOTICE_MILLIS * 0.67, NOTICE_MILLIS));
            Assert.assertFalse(MoveOrder.mayStartCopying(9_000, 3_000, MEMORY, NOTICE_MILLIS * 0.67, NOTICE_MILLIS));
        }

        /** Guards against copies that start together near the end, when only one of them can still complete. */
        @Test
        public void routersWithARunEachMoveAsManyAsTheLinkCopies() {
            Assert.assertTrue(movedRuns(7, 3_700) >= 3, movedRuns(7, 3_700) + " moved");
            Assert.assertEquals(movedRuns(2, 3_700), 2);
        }

        /**
         * Replays a departure: each router copies its run, copies what is new, and stops the run; the link serves the
         * copies one after another, and each call takes a round trip.
         */
        private static int movedRuns(int routers, long tokens) {
            long[] held = new long[routers];
            int[] nextCopy = new int[routers];
            double[] readyAt = new double[routers];
            Arrays.fill(held, tokens);
            Arrays.fill(readyAt, -1);
            double linkFreeAt = 0;
            int moved = 0;
            for (int now = 0; now <= NOTICE_MILLIS; now++) {
                for (int router = 0; router < routers; router++) {
                    long earlier = Arrays.stream(held, 0, router).sum();
                    if (readyAt[router] < 0 && MoveOrder.mayStartCopying(earlier, tokens, MEMORY, now, NOTICE_MILLIS)) {
                        readyAt[router] = now;
                    }
                    if (readyAt[router] < 0 || now < readyAt[router] || held[router] == 0) {
                        continue;
                    }
                    if (nextCopy[router] == 3) {
                        held[router] = 0;
                        moved++;
                        continue;
                    }
                    double copyMillis = MEMORY.copyMillis(nextCopy[router] == 0 ? tokens : 50);
                    linkFreeAt = Math.max(linkFreeAt, now + CALL_MILLIS) + copyMillis;
                    readyAt[router] = linkFreeAt;
                    nextCopy[router]++;
                }
            }
            return moved;
        }
    }

    @Test
    public void copyTimeFollowsFromTheLink() {
        Assert.assertEquals(MEMORY.copyMillis(3_500), 193, 1);
        Assert.assertEquals(EngineMemory.NONE.copyMillis(3_500), 0, 0);
    }
}
