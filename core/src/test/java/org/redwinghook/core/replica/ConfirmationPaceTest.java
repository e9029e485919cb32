package org.redwinghook.core.replica;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against routers that exceed the rate of the store when all of them are sent resumed streams. */
public class ConfirmationPaceTest {

    private static final int TOPICS = 2;
    private static final int READS_PER_SECOND = 1_000;
    private static final long SECOND_MILLIS = 1_000;
    private static final int READ_MILLIS = 5;

    /** Longest wait of a resumed stream for the store, in milliseconds. */
    private static final long MAXIMUM_WAIT_MILLIS = 1_000;

    @DataProvider
    public Object[] routers() {
        return new Object[] {2, 12, 100, 360};
    }

    // Replays streams that are resumed at all routers without a pause, for ten seconds.
    @Test(dataProvider = "routers")
    public void allRoutersTogetherKeepToTheRate(int routers) {
        long durationMillis = 10 * SECOND_MILLIS;
        long rounds = 0;
        long startMillis = 0;
        while (startMillis < durationMillis) {
            rounds++;
            startMillis += Math.max(READ_MILLIS, ConfirmationPace.intervalMillis(TOPICS, routers, false));
        }
        // Each router may begin its first round at once.
        double readsPerSecond = (rounds - 1) * TOPICS * routers * (double) SECOND_MILLIS / durationMillis;
        Assert.assertTrue(readsPerSecond <= READS_PER_SECOND, readsPerSecond + " reads a second");
    }

    @Test(dataProvider = "routers")
    public void streamIsAnsweredWithinItsWait(int routers) {
        long longestMillis = ConfirmationPace.intervalMillis(TOPICS, routers, false) + READ_MILLIS;
        Assert.assertTrue(longestMillis <= MAXIMUM_WAIT_MILLIS, longestMillis + " ms");
    }

    /** Load: the store refuses each read within a millisecond. */
    @Test
    public void failedRoundsArePaced() {
        Assert.assertTrue(ConfirmationPace.intervalMillis(TOPICS, 1, true) >= SECOND_MILLIS / 10);
    }
}
