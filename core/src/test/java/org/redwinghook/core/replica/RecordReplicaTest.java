package org.redwinghook.core.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against replicas that revert to older records, regardless of the sender and the order of the records. */
public class RecordReplicaTest {

    /** Records as "key@offset=value", removals as "key@offset", separated by spaces. */
    private static List<VersionedRecord> records(String texts) {
        List<VersionedRecord> records = new ArrayList<>();
        for (String text : texts.isEmpty() ? new String[0] : texts.split(" ")) {
            String[] parts = text.split("[@=]");
            byte[] value = parts.length > 2 ? parts[2].getBytes(StandardCharsets.UTF_8) : null;
            records.add(new VersionedRecord(parts[0], Long.parseLong(parts[1]), value));
        }
        return records;
    }

    private static String text(VersionedRecord record) {
        return record.value() == null ? "" : new String(record.value(), StandardCharsets.UTF_8);
    }

    /** Values such as "2.7" have a number: the seventh statement of start 2. */
    private static @Nullable StatementNumber numberOf(VersionedRecord record) {
        String[] parts = text(record).split("\\.");
        return parts.length == 2 ? new StatementNumber(Long.parseLong(parts[0]), Long.parseLong(parts[1])) : null;
    }

    private static String keys(List<VersionedRecord> records) {
        TreeSet<String> keys = new TreeSet<>();
        records.forEach(record -> keys.add(record.key()));
        return String.join(" ", keys);
    }

    private static void assertBeliefs(RecordReplica replica, String expected) {
        TreeSet<String> beliefs = new TreeSet<>();
        replica.allRecords().stream()
                .filter(record -> record.value() != null)
                .forEach(record -> beliefs.add(record.key() + "=" + text(record)));
        Assert.assertEquals(String.join(" ", beliefs), expected);
    }

    /** A replica that has read all records of an era from the first one on. */
    private static RecordReplica reader(String texts) {
        RecordReplica replica = new RecordReplica(RecordReplicaTest::numberOf);
        replica.beginEra(1);
        replica.mergeSnapshot(1, List.of(), 0);
        replica.merge(1, records(texts));
        replica.advanceTo(10);
        return replica;
    }

    /** A replica that has read a snapshot of an era that ends at offset 10. */
    private static RecordReplica started(String texts) {
        RecordReplica replica = new RecordReplica(RecordReplicaTest::numberOf);
        replica.beginEra(1);
        replica.mergeSnapshot(1, records(texts), 10);
        return replica;
    }

    /** Returns the keys that changed. */
    private static String comeBack(RecordReplica replica, long era, String snapshot, long endOffset) {
        replica.beginEra(era);
        return keys(replica.mergeSnapshot(era, records(snapshot), endOffset));
    }

    /** One log, as long as the store loses nothing. */
    public static class OneEra {

        @Test
        public void olderRecordChangesNothing() {
            RecordReplica replica = reader("config@7=new endpoint@9");
            Assert.assertEquals(keys(replica.merge(1, records("config@5=old endpoint@8=ready"))), "");
            assertBeliefs(replica, "config=new");
        }

        @Test
        public void snapshotRemovesMissingKeysThatAreNotNewer() {
            RecordReplica replica = reader("gone@1=a kept@2=b newer@6=c");
            List<VersionedRecord> changed = replica.mergeSnapshot(1, records("kept@2=b"), 5);
            Assert.assertEquals(keys(changed), "gone");
            Assert.assertNull(changed.get(0).value());
            assertBeliefs(replica, "kept=b newer=c");
        }

        @Test
        public void nextOffsetNeverDecreases() {
            RecordReplica replica = reader("");
            replica.advanceTo(2);
            Assert.assertEquals(replica.nextOffset(), 10);
        }
    }

    /** The store came back from a copy that ends before offset 3, and gives the offsets from there on out again. */
    public static class ReturnFromCopy {

        /** Guards against changes that are ignored until the offsets have passed those of before. */
        @Test
        public void recordWrittenAtALowerOffsetIsBelieved() {
            RecordReplica replica = reader("endpoint@2=ready config@3=older config@9=old");
            Assert.assertEquals(comeBack(replica, 2, "endpoint@2=ready config@3=new", 4), "config");
            Assert.assertEquals(replica.nextOffset(), 4);
            replica.merge(2, records("endpoint@4=draining"));
            assertBeliefs(replica, "config=new endpoint=draining");
        }

        /** Guards against copied records that are handled as new ones, which would make a warm endpoint cold again. */
        @Test
        public void confirmedRecordChangesNothing() {
            RecordReplica replica = reader("endpoint@2=ready");
            Assert.assertEquals(comeBack(replica, 2, "endpoint@2=ready", 3), "");
            Assert.assertEquals(replica.earlierRecords().size(), 0);
        }

        /** Guards against requests to an endpoint whose departure the copy lacks. */
        @Test
        public void lostStatementHoldsUntilItsKeyIsWrittenAgain() {
            RecordReplica replica = reader("endpoint@2=ready endpoint@5=draining");
            Assert.assertEquals(comeBack(replica, 2, "endpoint@2=ready", 3), "");
            assertBeliefs(replica, "endpoint=draining");
            Assert.assertEquals(keys(replica.merge(2, records("endpoint@3=back"))), "endpoint");
            assertBeliefs(replica, "endpoint=back");
            Assert.assertEquals(replica.earlierRecords().size(), 0);
        }

        /** Guards against removed endpoints and finished withdrawals that return with the copy. */
        @Test
        public void removedKeyStaysRemoved() {
            for (RecordReplica replica : List.of(reader("endpoint@2=ready endpoint@5"), started("other@9=a"))) {
                Assert.assertEquals(comeBack(replica, 2, "endpoint@2=ready", 3), "");
                Assert.assertEquals(keys(replica.merge(2, records("endpoint@3=back"))), "endpoint");
            }
            RecordReplica replica = reader("endpoint@5");
            comeBack(replica, 2, "", 3);
            comeBack(replica, 3, "", 3);
            Assert.assertEquals(replica.allRecords().size(), 0, "removals of an era that is over are kept");
        }

        /** Guards against endpoints of the lost seconds that are served for ever, or not until they register again. */
        @Test
        public void lostRecordStaysUntilItIsDropped() {
            RecordReplica replica = reader("endpoint@2=ready late@5=ready");
            replica.beginEra(2);
            Assert.assertEquals(keys(replica.lostRecords()), "");
            comeBack(replica, 2, "endpoint@2=ready", 3);
            assertBeliefs(replica, "endpoint=ready late=ready");
            Assert.assertEquals(keys(replica.dropLost()), "late");
            assertBeliefs(replica, "endpoint=ready");
        }

        /** Guards against a withdrawal that is undone by its older record, which the router had never read. */
        @Test
        public void recordOfUnknownOriginDoesNotOverrideALaterOne() {
            RecordReplica replica = started("withdrawal@8=on");
            Assert.assertEquals(comeBack(replica, 2, "withdrawal@2=off", 3), "");
        }

        /** Guards against an answer or a relay of the log of before that arrives late. */
        @Test
        public void recordsOfAnEarlierEraAreIgnored() {
            RecordReplica replica = reader("endpoint@2=ready");
            replica.beginEra(2);
            Assert.assertEquals(keys(replica.merge(1, records("endpoint@50=late"))), "");
            Assert.assertEquals(keys(replica.mergeSnapshot(1, List.of(), 60)), "");
            Assert.assertEquals(replica.nextOffset(), 0);
        }

        /** Load: relays arrive before the snapshot that shows where the copy ends. */
        @Test
        public void relayedRecordIsBelievedOnceItsOriginIsKnown() {
            RecordReplica replica = started("a@4=1 b@8=1");
            replica.beginEra(2);
            Assert.assertEquals(keys(replica.merge(2, records("b@5=2"))), "");
            Assert.assertEquals(keys(replica.mergeSnapshot(2, records("a@4=2 b@5=2"), 6)), "a b");
        }

        /** Guards against an endpoint that is served for ever, as its removal was relayed before the first snapshot. */
        @Test
        public void recordRemovedBeforeTheFirstSnapshotIsLost() {
            RecordReplica replica = reader("endpoint@2=ready endpoint@6=back");
            replica.beginEra(2);
            Assert.assertEquals(keys(replica.merge(2, records("endpoint@4"))), "");
            replica.mergeSnapshot(2, List.of(), 5);
            Assert.assertEquals(keys(replica.dropLost()), "endpoint");
            assertBeliefs(replica, "");
        }

        /** Guards against a router that stays unknown, since it writes its entry again at the offset of before. */
        @Test
        public void lostRecordWrittenAgainAtItsOffsetIsBelieved() {
            RecordReplica replica = reader("other@2=a late@3=ready");
            comeBack(replica, 2, "other@2=a", 3);
            replica.dropLost();
            Assert.assertEquals(keys(replica.merge(2, records("late@3=ready"))), "late");
            assertBeliefs(replica, "late=ready other=a");
        }

        /** Guards against a withdrawal that is ignored, since it stands at the offset of its removal of before. */
        @Test
        public void otherRecordAtTheOffsetOfABeliefIsBelieved() {
            RecordReplica replica = reader("withdrawal@2=on withdrawal@5");
            Assert.assertEquals(comeBack(replica, 2, "withdrawal@5=again", 6), "withdrawal");
        }

        /** Load: endpoints lapse and register again, at offsets where only removals stood before. */
        @Test
        public void recordAtTheOffsetOfAReadRemovalIsBelieved() {
            RecordReplica replica = reader("a@1=ready b@2=ready");
            List<VersionedRecord> removals = records("a@3 b@4");
            replica.observeRead(1, removals);
            replica.merge(1, removals);
            Assert.assertEquals(comeBack(replica, 2, "a@1=ready b@3=back", 4), "b");
        }

        /** Guards against removals that a router derived from a snapshot and that look like records of other content. */
        @Test
        public void relayedRemovalIsNoEvidence() {
            RecordReplica replica = reader("gone@5 a@5=1 a@6=2");
            Assert.assertEquals(comeBack(replica, 2, "a@5=1", 6), "");
            assertBeliefs(replica, "a=2");
        }
    }

    /** Writers number their statements, so that these can be compared across eras. */
    public static class NumberedStatements {

        /** Load: a server writes its lost statements again, the oldest first. */
        @Test
        public void olderStatementWrittenAgainIsNotBelieved() {
            RecordReplica replica = reader("endpoint@4=7.1 endpoint@5=7.2");
            Assert.assertEquals(comeBack(replica, 2, "endpoint@3=7.1", 4), "");
            Assert.assertEquals(keys(replica.merge(2, records("endpoint@4=7.3"))), "endpoint");
        }

        /** Load: a router with a short history reads a record that was written below the offsets of before. */
        @Test
        public void laterStatementOfUnknownOriginIsBelieved() {
            Assert.assertEquals(comeBack(started("config@8=0.13"), 2, "config@2=0.14", 3), "config");
        }

        /** Guards against a server that is ignored for ever, since its clock was set back before it started again. */
        @Test
        public void writtenStatementOfAnotherStartIsBelieved() {
            Assert.assertEquals(comeBack(reader("endpoint@4=7.2"), 2, "endpoint@4=6.1", 5), "endpoint");
        }
    }

    /** The store returns a second time before the first return is over. */
    public static class TwoReturns {

        @Test
        public void lostStatementHoldsAcrossBoth() {
            RecordReplica replica = reader("endpoint@2=ready endpoint@5=draining config@6=old");
            replica.beginEra(2);
            replica.merge(2, records("endpoint@2=ready"));
            Assert.assertEquals(comeBack(replica, 3, "endpoint@2=ready config@5=new", 6), "config");
            assertBeliefs(replica, "config=new endpoint=draining");
        }

        /** Load: the router could not read the store in the era between. */
        @Test
        public void copyIsRecognizedByAnEraBeforeTheLast() {
            RecordReplica replica = reader("endpoint@2=ready endpoint@5");
            replica.beginEra(2);
            Assert.assertEquals(comeBack(replica, 3, "endpoint@2=ready", 3), "");
        }

        /**
         * Load: the router read only part of the era between. Guards against a copied record of that era that is taken for a
         * new one, since the offset held another one in the era before.
         */
        @Test
        public void differenceFromAnEraBeforeTheLastIsNoEvidence() {
            RecordReplica replica = reader("other@3=a");
            comeBack(replica, 2, "", 1);
            replica.merge(2, records("endpoint@5=draining"));
            Assert.assertEquals(comeBack(replica, 3, "endpoint@3=ready", 4), "");
            Assert.assertEquals(keys(replica.merge(3, records("endpoint@4=back"))), "endpoint");
        }

        /** Load: a withdrawal was written in the era between, and the second copy has it. */
        @Test
        public void recordOfTheEraBetweenIsConfirmed() {
            RecordReplica replica = reader("withdrawal@5=off");
            comeBack(replica, 2, "", 3);
            replica.merge(2, records("withdrawal@3=on"));
            Assert.assertEquals(comeBack(replica, 3, "withdrawal@3=on", 4), "");
            assertBeliefs(replica, "withdrawal=on");
        }
    }

    /** Routers tell each other what the log has lost. */
    public static class BetweenRouters {

        private static String merge(RecordReplica replica, long era, long writtenEra, String text) {
            EarlierRecord earlier = new EarlierRecord(writtenEra, records(text).get(0));
            return keys(replica.mergeEarlier(era, List.of(earlier)));
        }

        /** Guards against a router that starts on the copy and believes it. */
        @Test
        public void startedRouterTakesOverWhatOthersKnow() {
            RecordReplica replica = started("withdrawal@2=off");
            Assert.assertEquals(merge(replica, 1, 0, "withdrawal@5=on"), "withdrawal");
            replica.merge(1, records("withdrawal@10=off"));
            Assert.assertEquals(merge(replica, 1, 0, "withdrawal@15=on"), "");
            assertBeliefs(replica, "withdrawal=off");
        }

        /** Load: the other router lagged, and does not know that the key was removed, written later or given up as lost. */
        @Test
        public void olderRecordOfAnotherRouterIsNotTakenOver() {
            RecordReplica replica = reader("removed@2=a removed@6 unknown@3 lost@7=b");
            comeBack(replica, 2, "", 1);
            Assert.assertEquals(keys(replica.dropLost()), "lost");
            Assert.assertEquals(merge(replica, 2, 1, "removed@2=a"), "");
            Assert.assertEquals(merge(replica, 2, 1, "unknown@1=a"), "");
            Assert.assertEquals(merge(replica, 2, 1, "lost@7=b"), "");
            Assert.assertEquals(merge(replica, 2, 1, "late@12=c"), "late");
            Assert.assertEquals(keys(replica.merge(2, records("lost@1=b"))), "lost");
        }

        /** Load: a router that has just started cannot tell a record that was written after the return from a copied one. */
        @Test
        public void originIsLearnedFromOthers() {
            RecordReplica replica = started("withdrawal@8=on");
            Assert.assertEquals(comeBack(replica, 2, "withdrawal@4=off", 5), "");
            Assert.assertEquals(keys(replica.observeWrittenFrom(1, 4)), "");
            Assert.assertEquals(keys(replica.observeWrittenFrom(2, 4)), "withdrawal");
        }

        /** Load: the other router's message arrives before the first snapshot. */
        @Test
        public void snapshotDoesNotOverrideWhatOthersKnow() {
            RecordReplica replica = new RecordReplica(StatementNumbers.NONE);
            replica.beginEra(2);
            Assert.assertEquals(merge(replica, 2, 1, "withdrawal@5=on"), "withdrawal");
            Assert.assertEquals(keys(replica.mergeSnapshot(2, records("withdrawal@2=off"), 4)), "");
        }

        @Test
        public void laterOfTwoEarlierErasIsBelieved() {
            RecordReplica replica = new RecordReplica(StatementNumbers.NONE);
            replica.beginEra(3);
            merge(replica, 3, 1, "withdrawal@5=on");
            Assert.assertEquals(merge(replica, 3, 2, "withdrawal@4=off"), "withdrawal");
            Assert.assertEquals(merge(replica, 3, 1, "withdrawal@5=on"), "");
            Assert.assertEquals(merge(replica, 2, 1, "withdrawal@9=on"), "");
        }
    }

    /** Guards against a history that grows with the log. */
    @Test
    public void historyIsLimited() {
        RecordHistory history = new RecordHistory();
        for (int offset = 0; offset <= RecordHistory.MAXIMUM_OFFSETS; offset++) {
            history.add(records("a@" + offset + "=b").get(0), 1);
        }
        Assert.assertEquals(history.eraOf(0), RecordHistory.NO_ERA);
        Assert.assertTrue(history.contains(records("a@1=b").get(0)));
    }
}
