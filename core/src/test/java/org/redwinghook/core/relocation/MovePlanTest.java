package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against copies that delay each other until the engine has shut down, and against an idle link. */
public class MovePlanTest {

    private static final EngineMemory MEMORY = new EngineMemory(34_000, 35_136, 5_100, true);
    private static final double NOTICE_MILLIS = 1_500;

    /** Load: six runs of one router at an engine that leaves, as at second 18.0 of a recorded day. */
    public static class ManyRuns {

        /**
         * Copies that were all requested at once ended after the engine had shut down, and no run could stop in time.
         */
        @Test
        public void onlyTwoRunsOfTypicalSizeAreCopiedTogether() {
            Assert.assertEquals(waveSizes(3_500, 6), List.of(2, 2, 2));
        }

        @Test
        public void smallRunsShareAWave() {
            Assert.assertEquals(waveSizes(1_000, 6), List.of(6));
        }

        @Test
        public void runThatFillsAWaveIsCopiedAlone() {
            Assert.assertEquals(waveSizes(9_000, 2), List.of(1, 1));
        }
    }

    /** Load: runs that may restart at another engine leave the link to those that may not. */
    @Test
    public void resumableRunsAreNotCopied() {
        RunAtEngine resumable = new RunAtEngine("resumable", 3_000, 5_000, true);
        Assert.assertEquals(
                MovePlan.of(List.of(resumable), MEMORY, NOTICE_MILLIS).waves(), List.of());
    }

    private static List<Integer> waveSizes(long tokens, int number) {
        List<RunAtEngine> runs = new ArrayList<>();
        for (int run = 0; run < number; run++) {
            runs.add(new RunAtEngine("run-" + run, tokens, 5_000, false));
        }
        return MovePlan.of(runs, MEMORY, NOTICE_MILLIS).waves().stream()
                .map(List::size)
                .toList();
    }
}
