package org.redwinghook.core.replica;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/** Offsets and digests of the newest records that were seen in one or several logs. */
final class RecordHistory {

    /** Maximum number of offsets: several times what is written in the seconds that a copy of the store lacks. */
    static final int MAXIMUM_OFFSETS = 4_096;

    /** More than one digest if logs of several eras differ at an offset. */
    private final Map<Long, Set<Long>> digestsByOffset = new LinkedHashMap<>();

    /**
     * Adds a record of a log.
     *
     * @param record the record
     */
    void add(VersionedRecord record) {
        if (!knowsOffset(record.offset())) {
            add(record.offset(), Set.of(digest(record)));
        }
    }

    /**
     * Adds the records of another history.
     *
     * @param other the other history, of a later era
     */
    void addAll(RecordHistory other) {
        other.digestsByOffset.forEach(this::add);
    }

    private void add(long offset, Set<Long> digests) {
        Set<Long> merged = new HashSet<>(digests);
        Set<Long> existing = digestsByOffset.remove(offset);
        if (existing != null) {
            merged.addAll(existing);
        }
        digestsByOffset.put(offset, merged);
        if (digestsByOffset.size() > MAXIMUM_OFFSETS) {
            digestsByOffset.remove(digestsByOffset.keySet().iterator().next());
        }
    }

    /**
     * Whether a record was seen.
     *
     * @param record the record
     * @return true if a record with the same key and value was seen at its offset
     */
    boolean contains(VersionedRecord record) {
        return digestsByOffset.getOrDefault(record.offset(), Set.of()).contains(digest(record));
    }

    /**
     * Whether any record was seen at an offset.
     *
     * @param offset the offset
     * @return false also if it was seen too long ago
     */
    boolean knowsOffset(long offset) {
        return digestsByOffset.containsKey(offset);
    }

    private static long digest(VersionedRecord record) {
        byte[] value = record.value();
        Hasher hasher = Hashing.murmur3_128()
                .newHasher()
                .putInt(record.key().length())
                .putUnencodedChars(record.key())
                .putBoolean(value == null);
        return (value == null ? hasher : hasher.putBytes(value)).hash().asLong();
    }
}
