package org.redwinghook.core.replica;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/** Offsets and digests of the newest records that were seen in the logs of one or several eras. */
final class RecordHistory {

    /** Maximum number of offsets: several times what is written in the seconds that a copy of the store lacks. */
    static final int MAXIMUM_OFFSETS = 4_096;

    /** Era of an offset that was not seen. */
    static final long NO_ERA = -1;

    private final Map<Long, Seen> seenByOffset = new LinkedHashMap<>();

    /**
     * What was seen at an offset.
     *
     * @param digests more than one if logs of several eras differ there
     * @param era newest era in which a record was seen there
     */
    private record Seen(Set<Long> digests, long era) {}

    /**
     * Adds a record of a log.
     *
     * @param record the record
     * @param era era of the log
     */
    void add(VersionedRecord record, long era) {
        if (eraOf(record.offset()) != era) {
            add(record.offset(), new Seen(Set.of(digest(record)), era));
        }
    }

    /**
     * Adds the records of another history.
     *
     * @param other the other history, of a later era
     */
    void addAll(RecordHistory other) {
        other.seenByOffset.forEach(this::add);
    }

    private void add(long offset, Seen seen) {
        Seen existing = seenByOffset.remove(offset);
        if (existing == null) {
            seenByOffset.put(offset, seen);
        } else {
            Set<Long> digests = new HashSet<>(seen.digests());
            digests.addAll(existing.digests());
            seenByOffset.put(offset, new Seen(Set.copyOf(digests), seen.era()));
        }
        if (seenByOffset.size() > MAXIMUM_OFFSETS) {
            seenByOffset.remove(seenByOffset.keySet().iterator().next());
        }
    }

    /**
     * Whether a record was seen.
     *
     * @param record the record
     * @return true if a record with the same key and value was seen at its offset
     */
    boolean contains(VersionedRecord record) {
        Seen seen = seenByOffset.get(record.offset());
        return seen != null && seen.digests().contains(digest(record));
    }

    /**
     * Newest era in which a record was seen at an offset.
     *
     * @param offset the offset
     * @return the era, {@link #NO_ERA} if none was seen or it was too long ago
     */
    long eraOf(long offset) {
        Seen seen = seenByOffset.get(offset);
        return seen == null ? NO_ERA : seen.era();
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
