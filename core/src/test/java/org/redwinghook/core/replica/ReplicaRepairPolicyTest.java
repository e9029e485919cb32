package org.redwinghook.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against links that are saturated with relayed records, and against lagging routers that are never repaired.
 */
public class ReplicaRepairPolicyTest {

    private static final long ERA = 3;

    /** Load: 27 routers, and a change every 200 ms for seven seconds, as recorded in a large deployment. */
    public static class SeriesOfChanges {

        @Test
        public void doesNotRepairRoutersThatReceiveChangesInTime() {
            ReplicaRepairPolicy policy = new ReplicaRepairPolicy();
            for (long now = 0; now < 7_000; now += 200) {
                policy.recordOwnOffsetSum(ERA, now, now);
                for (int peer = 0; peer < 26; peer++) {
                    Assert.assertFalse(policy.shouldRepair("r-13", "p-" + peer, ERA, now - 300, now));
                }
            }
        }

        @Test
        public void onlyTwoRoutersRepairALaggingOne() {
            int repairers = 0;
            for (int router = 0; router < 26; router++) {
                ReplicaRepairPolicy policy = new ReplicaRepairPolicy();
                policy.recordOwnOffsetSum(ERA, 100, 0);
                for (int peer = 0; peer < 26; peer++) {
                    if (peer != router) {
                        policy.shouldRepair(name(router), name(peer), ERA, 100, 900);
                    }
                }
                repairers += policy.shouldRepair(name(router), "behind", ERA, 40, 1_000) ? 1 : 0;
            }
            Assert.assertEquals(repairers, 2);
        }
    }

    /** Load: a router is cut off from the store and from all but the last of the other routers. */
    public static class CutOff {

        @Test
        public void moreRoutersRepairItWhileItLags() {
            ReplicaRepairPolicy policy = new ReplicaRepairPolicy();
            policy.recordOwnOffsetSum(ERA, 100, 0);
            for (int peer = 0; peer < 20; peer++) {
                policy.shouldRepair(name(30), name(peer), ERA, 100, 900);
            }
            List<Boolean> repairs = new ArrayList<>();
            for (long now = 1_000; now <= 6_000; now += 1_000) {
                repairs.add(policy.shouldRepair(name(30), "behind", ERA, 40, now));
            }
            Assert.assertEquals(repairs, List.of(false, false, false, false, true, true));
        }

        @Test
        public void isRepairedAtMostOncePerSecond() {
            ReplicaRepairPolicy policy = new ReplicaRepairPolicy();
            policy.recordOwnOffsetSum(ERA, 100, 0);
            Assert.assertTrue(policy.shouldRepair("a", "behind", ERA, 40, 1_000));
            Assert.assertFalse(policy.shouldRepair("a", "behind", ERA, 40, 1_500));
            Assert.assertTrue(policy.shouldRepair("a", "behind", ERA, 40, 2_000));
        }
    }

    /** Load: routers of a region lag for half a minute behind a congested link, and more routers repair them each second. */
    public static class CongestedLink {

        /** Guards against complete copies for a router that lacks only the newest records. */
        @Test
        public void firstRoundsContainOnlyWhatChangedSinceTheRouterWasInSync() {
            ReplicaRepairPolicy policy = new ReplicaRepairPolicy();
            policy.recordOwnOffsetSum(ERA, 100, 0);
            Assert.assertEquals(policy.missingSinceMillis("behind"), Long.MIN_VALUE);
            policy.shouldRepair("a", "behind", ERA, 100, 1_000);
            policy.recordOwnOffsetSum(ERA, 140, 1_500);
            List<Long> since = new ArrayList<>();
            for (long now = 2_000; now <= 4_000; now += 1_000) {
                Assert.assertTrue(policy.shouldRepair("a", "behind", ERA, 100, now));
                since.add(policy.missingSinceMillis("behind"));
            }
            Assert.assertEquals(since, List.of(600L, 600L, Long.MIN_VALUE));
        }

        /** Guards against repairs that fill the link for as long as the routers lag. */
        @Test
        public void repairsOfOneRouterAreLimited() {
            RepairBudget budget = new RepairBudget(256 * 1024);
            long sentBytes = 0;
            for (long now = 0; now < 30_000; now += 1_000) {
                for (int peer = 0; peer < 13; peer++) {
                    sentBytes += budget.tryTake(60_000, now) ? 60_000 : 0;
                }
            }
            Assert.assertTrue(sentBytes > 30 * 50_000 && sentBytes < 30 * 80_000, "sent: " + sentBytes);
        }
    }

    /** Load: the store came back from a copy, and offsets of its log begin anew at lower ones. */
    public static class StoreEras {

        /** Guards against a router that stays at the log of before, as its higher offsets look complete. */
        @Test
        public void routerOfAnEarlierEraLags() {
            ReplicaRepairPolicy policy = new ReplicaRepairPolicy();
            policy.recordOwnOffsetSum(ERA, 100, 0);
            policy.shouldRepair("a", "behind", ERA, 100, 1_000);
            policy.recordOwnOffsetSum(ERA + 1, 40, 2_000);
            Assert.assertFalse(policy.shouldRepair("a", "behind", ERA, 100, 2_100));
            Assert.assertTrue(policy.shouldRepair("a", "behind", ERA, 100, 2_500));
            Assert.assertEquals(policy.missingSinceMillis("behind"), Long.MIN_VALUE);
        }

        /** Guards against repairs from the log of before, and against endless ones of routers that report no era. */
        @Test
        public void otherErasAreNotCompared() {
            ReplicaRepairPolicy policy = new ReplicaRepairPolicy();
            policy.recordOwnOffsetSum(ERA, 100, 0);
            Assert.assertFalse(policy.shouldRepair("a", "ahead", ERA + 1, 40, 1_000));
            Assert.assertFalse(policy.shouldRepair("a", "before eras", 0, 40, 1_000));
            Assert.assertTrue(policy.shouldRepair("a", "started", 0, 0, 1_000));
        }
    }

    /** Load: a router misses a record and receives a later one from another sender. */
    @Test
    public void offsetSumRevealsAMissingRecordBeforeALaterOne() {
        RecordReplica complete = new RecordReplica(StatementNumbers.NONE);
        RecordReplica partial = new RecordReplica(StatementNumbers.NONE);
        VersionedRecord configuration = new VersionedRecord("config", 4, new byte[1]);
        VersionedRecord withdrawal = new VersionedRecord("withdrawal", 5, new byte[1]);
        complete.merge(0, List.of(configuration, withdrawal));
        partial.merge(0, List.of(withdrawal));
        Assert.assertTrue(partial.offsetSum() < complete.offsetSum());
        partial.merge(0, List.of(configuration));
        Assert.assertEquals(partial.offsetSum(), complete.offsetSum());
    }

    /** Load: the first reader of the store relays large records, and the second one does not. */
    @Test
    public void onlyOneReaderRelaysLargeRecords() {
        Map<String, Boolean> peers = new HashMap<>(Map.of("a", false, "b", true));
        Assert.assertEquals(StoreReaders.roleOf("a", peers), StoreRole.FIRST_READER);
        Assert.assertNotEquals(StoreReaders.roleOf("c", peers), StoreRole.FIRST_READER);
        peers.put("b", false);
        Assert.assertEquals(StoreReaders.roleOf("c", peers), StoreRole.FIRST_READER);
    }

    private static String name(int number) {
        return String.format("router-%02d", number);
    }
}
