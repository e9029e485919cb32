package org.redwinghook.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Copy of one keyed log. Records may arrive in any order, repeatedly and from several senders: for each key the one
 * with the highest offset counts, so the copy never goes back.
 */
public final class RecordReplica {

    private final Map<String, VersionedRecord> records = new HashMap<>();
    private long position;
    private long knowledge;

    /**
     * Merges records.
     *
     * @param incoming the records
     * @return those that were newer than what the copy had
     */
    public List<VersionedRecord> merge(Collection<VersionedRecord> incoming) {
        List<VersionedRecord> changed = new ArrayList<>();
        for (VersionedRecord record : incoming) {
            VersionedRecord known = records.get(record.key());
            if (known != null && known.offset() >= record.offset()) {
                continue;
            }
            records.put(record.key(), record);
            knowledge += record.offset() - (known == null ? -1 : known.offset());
            changed.add(record);
        }
        return changed;
    }

    /**
     * Merges a complete snapshot: a key that it lacks was removed before the snapshot's end.
     *
     * @param snapshot newest record of each key
     * @param end offset after the last record that the snapshot covers
     * @return what changed, with the removals
     */
    public List<VersionedRecord> mergeSnapshot(Collection<VersionedRecord> snapshot, long end) {
        Map<String, VersionedRecord> present = new HashMap<>();
        snapshot.forEach(record -> present.put(record.key(), record));
        List<VersionedRecord> incoming = new ArrayList<>(snapshot);
        for (VersionedRecord known : records.values()) {
            if (!present.containsKey(known.key()) && known.value() != null && known.offset() < end) {
                incoming.add(new VersionedRecord(known.key(), end - 1, null));
            }
        }
        advance(end);
        return merge(incoming);
    }

    /**
     * Notes that all records before an offset have been merged.
     *
     * @param offset the offset
     */
    public void advance(long offset) {
        position = Math.max(position, offset);
    }

    /**
     * Offset before which all records have been merged.
     *
     * @return the offset, 0 before the first snapshot
     */
    public long position() {
        return position;
    }

    /**
     * How much the copy knows: the sum of all keys' offsets, each counted from 1. It only grows, and two copies of which
     * one has everything that the other has are equal if their sums are.
     *
     * @return the sum
     */
    public long knowledge() {
        return knowledge;
    }

    /**
     * Newest record of each key, removed keys included.
     *
     * @return the records
     */
    public List<VersionedRecord> all() {
        return List.copyOf(records.values());
    }
}
