package org.redwinghook.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Replica of one keyed log. Records may arrive in any order, repeatedly and from several senders: for each key the one
 * with the highest offset wins, so the replica never reverts to older records.
 */
public final class RecordReplica {

    private final Map<String, VersionedRecord> records = new HashMap<>();
    private long nextOffset;
    private long offsetSum;

    /**
     * Merges records.
     *
     * @param incoming the records
     * @return those that were newer than the replica's
     */
    public List<VersionedRecord> merge(Collection<VersionedRecord> incoming) {
        List<VersionedRecord> changed = new ArrayList<>();
        for (VersionedRecord record : incoming) {
            VersionedRecord existing = records.get(record.key());
            if (existing != null && existing.offset() >= record.offset()) {
                continue;
            }
            records.put(record.key(), record);
            offsetSum += record.offset() - (existing == null ? -1 : existing.offset());
            changed.add(record);
        }
        return changed;
    }

    /**
     * Merges a complete snapshot: a key that is missing from it was removed before the snapshot's end.
     *
     * @param snapshot newest record of each key
     * @param endOffset offset after the last record that the snapshot covers
     * @return the changed records, including removals
     */
    public List<VersionedRecord> mergeSnapshot(Collection<VersionedRecord> snapshot, long endOffset) {
        Map<String, VersionedRecord> present = new HashMap<>();
        snapshot.forEach(record -> present.put(record.key(), record));
        List<VersionedRecord> incoming = new ArrayList<>(snapshot);
        for (VersionedRecord existing : records.values()) {
            if (!present.containsKey(existing.key()) && existing.value() != null && existing.offset() < endOffset) {
                incoming.add(new VersionedRecord(existing.key(), endOffset - 1, null));
            }
        }
        advanceTo(endOffset);
        return merge(incoming);
    }

    /**
     * Marks all records before an offset as merged.
     *
     * @param offset the offset
     */
    public void advanceTo(long offset) {
        nextOffset = Math.max(nextOffset, offset);
    }

    /**
     * Offset before which all records have been merged.
     *
     * @return the offset, 0 before the first snapshot
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * Sum of the newest offsets of all keys, each counted from 1. It only grows. If one of two replicas has all records
     * of the other, they are equal if their sums are.
     *
     * @return the sum
     */
    public long offsetSum() {
        return offsetSum;
    }

    /**
     * Newest record of each key, including removed keys.
     *
     * @return the records
     */
    public List<VersionedRecord> allRecords() {
        return List.copyOf(records.values());
    }
}
