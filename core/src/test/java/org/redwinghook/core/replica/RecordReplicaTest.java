package org.redwinghook.core.replica;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against replicas that revert to older records, regardless of the sender and the order of the records. */
public class RecordReplicaTest {

    private final RecordReplica replica = new RecordReplica();

    @Test
    public void olderRecordChangesNothing() {
        RecordReplica copy = new RecordReplica();
        copy.merge(List.of(record("config", 7)));
        Assert.assertTrue(copy.merge(List.of(record("config", 5))).isEmpty());
        Assert.assertEquals(copy.allRecords().get(0).offset(), 7);
    }

    @Test
    public void removalIsNotUndoneByAnOlderRecord() {
        RecordReplica copy = new RecordReplica();
        copy.merge(List.of(new VersionedRecord("endpoint", 9, null)));
        Assert.assertTrue(copy.merge(List.of(record("endpoint", 8))).isEmpty());
    }

    @Test
    public void snapshotRemovesMissingKeys() {
        RecordReplica copy = new RecordReplica();
        copy.merge(List.of(record("gone", 1), record("kept", 2)));
        List<VersionedRecord> changed = copy.mergeSnapshot(List.of(record("kept", 2)), 5);
        Assert.assertEquals(changed.size(), 1);
        Assert.assertEquals(changed.get(0).key(), "gone");
        Assert.assertNull(changed.get(0).value());
    }

    @Test
    public void snapshotKeepsKeysWrittenAfterItsEnd() {
        RecordReplica copy = new RecordReplica();
        copy.merge(List.of(record("newer", 6)));
        Assert.assertTrue(copy.mergeSnapshot(List.of(), 5).isEmpty());
    }

    @Test
    public void nextOffsetNeverDecreases() {
        replica.advanceTo(4);
        replica.advanceTo(2);
        Assert.assertEquals(replica.nextOffset(), 4);
    }

    private static VersionedRecord record(String key, long offset) {
        return new VersionedRecord(key, offset, new byte[] {1});
    }
}
