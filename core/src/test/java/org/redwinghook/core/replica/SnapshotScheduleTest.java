package org.redwinghook.core.replica;

import java.util.Arrays;
import java.util.Map;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against routers that exceed the rates of a store that has just come back. */
public class SnapshotScheduleTest {

    private static final int ROUTERS = 360;
    private static final int STORE_READS_PER_SECOND = 2_000;
    private static final int REPLAY_MILLIS = 60_000;
    private static final int READ_MILLIS = 5;

    /** Bytes of an entry in the answer to a read: a value of 200 bytes in Base64, its key and its offset. */
    private static final int ENTRY_BYTES = 330;

    /** Time in which the era reaches all routers over the mesh. */
    private static final int PROPAGATION_MILLIS = 400;

    private static final Map<RecordTopic, Integer> KEYS =
            Map.of(RecordTopic.OPERATORS, 30, RecordTopic.ROUTERS, ROUTERS, RecordTopic.ENDPOINTS, 21_000);

    /** Calls to the store in each millisecond after it came back, and the end of the operators' snapshots. */
    private static final class Replay {

        private final int[] calls = new int[REPLAY_MILLIS];
        private long operatorsReadMillis;
        private long firstBytes;

        /** Each router retries each topic until it learns of the era; then it takes its snapshots. */
        Replay(long seed) {
            Random random = new Random(seed);
            for (int router = 0; router < ROUTERS; router++) {
                int learnedMillis = random.nextInt(PROPAGATION_MILLIS);
                for (RecordTopic topic : RecordTopic.values()) {
                    int retry = random.nextInt((int) SnapshotSchedule.retryMillis(9, ROUTERS));
                    if (retry < learnedMillis) {
                        calls[retry]++;
                    }
                    boolean isReader = router < 2;
                    long delay = isReader ? 0 : SnapshotSchedule.delayMillis(topic, KEYS, ROUTERS, random.nextDouble());
                    int reads = (KEYS.get(topic) + 499) / 500;
                    for (int read = 0; read < reads; read++) {
                        int sentMillis = (int) (learnedMillis + delay) + read * READ_MILLIS;
                        calls[sentMillis]++;
                        if (sentMillis < 10_000) {
                            firstBytes += (long) Math.min(500, KEYS.get(topic) - 500 * read) * ENTRY_BYTES;
                        }
                    }
                    if (topic == RecordTopic.OPERATORS) {
                        operatorsReadMillis = Math.max(operatorsReadMillis, learnedMillis + delay);
                    }
                }
            }
        }

        int callsBetween(int fromMillis, int toMillis) {
            return Arrays.stream(calls, fromMillis, toMillis).sum();
        }

        int mostCallsInASecond() {
            int most = 0;
            for (int start = 0; start + 1_000 <= REPLAY_MILLIS; start += 10) {
                most = Math.max(most, callsBetween(start, start + 1_000));
            }
            return most;
        }
    }

    @DataProvider
    public Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    @Test(dataProvider = "seeds")
    public void returnOfTheStoreKeepsToItsRates(long seed) {
        Replay replay = new Replay(seed);
        Assert.assertTrue(
                replay.mostCallsInASecond() <= STORE_READS_PER_SECOND,
                "calls in a second " + replay.mostCallsInASecond() + ", in 10 s " + replay.callsBetween(0, 10_000)
                        + ", bytes in 10 s " + replay.firstBytes);
        Assert.assertTrue(replay.operatorsReadMillis < 3_000, "operators read " + replay.operatorsReadMillis);
    }

    /** Guards against retries that keep a store overloaded, which refuses what exceeds its rates. */
    @Test
    public void retriesOfAllRoutersKeepToTheRates() {
        for (int routers : new int[] {1, 27, 134, 360, 1_000}) {
            double retriesPerSecond = 3_000.0 * routers / SnapshotSchedule.retryMillis(20, routers);
            Assert.assertTrue(retriesPerSecond <= STORE_READS_PER_SECOND / 2.0 + 20, "retries " + retriesPerSecond);
        }
        Assert.assertEquals(SnapshotSchedule.retryMillis(0, ROUTERS), 100);
        Assert.assertEquals(SnapshotSchedule.retryMillis(5, 27), 400);
    }

    /** Guards against small deployments in which changes are in force later than without a schedule. */
    @Test
    public void smallDeploymentsDoNotWait() {
        Map<RecordTopic, Integer> keys =
                Map.of(RecordTopic.OPERATORS, 30, RecordTopic.ROUTERS, 64, RecordTopic.ENDPOINTS, 1_200);
        for (RecordTopic topic : RecordTopic.values()) {
            Assert.assertEquals(SnapshotSchedule.delayMillis(topic, keys, 64, 1), 0);
        }
    }
}
