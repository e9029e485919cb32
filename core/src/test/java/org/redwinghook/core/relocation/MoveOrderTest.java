package org.redwinghook.core.relocation;

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

    @Test
    public void copyTimeFollowsFromTheLink() {
        Assert.assertEquals(MEMORY.copyMillis(3_500), 193, 1);
        Assert.assertEquals(EngineMemory.NONE.copyMillis(3_500), 0, 0);
    }
}
