package org.redwinghook.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Replica of one keyed log. Records may arrive in any order, repeatedly and from several senders: for each key the one
 * with the highest offset wins. When the store comes back from a copy, an era begins with a log that may lack the newest
 * records and gives their offsets out again. What was believed until then stays believed as a floor, until the log of
 * the new era has a later record of the key. Records of earlier eras are ignored.
 */
public final class RecordReplica {

    private final Map<String, VersionedRecord> log = new HashMap<>();
    private final RecordFloor floor;
    private final RecordHistory earlierHistory = new RecordHistory();
    private RecordHistory history = new RecordHistory();
    private CopyDetector copies = new CopyDetector(earlierHistory, 0);
    private long era;
    private long nextOffset;
    private long offsetSum;
    private boolean isComplete;

    /** End of the newest complete replica of an earlier era; keys that it lacked had been removed before this offset. */
    private long earlierEndOffset;

    private long earlierEra;

    /**
     * Creates an empty replica of era 0.
     *
     * @param numbers reads the numbers of the records
     */
    public RecordReplica(StatementNumbers numbers) {
        this.floor = new RecordFloor(numbers);
    }

    /**
     * Begins an era: the log is followed from its start, and all beliefs become the floor.
     *
     * @param newEra the era; the present one if the log was found to have begun anew without a new era
     */
    public void beginEra(long newEra) {
        if (isComplete) {
            floor.forgetRemovals(this::isLogged);
            earlierEndOffset = nextOffset;
            earlierEra = era;
        }
        log.values().forEach(record -> floor.add(new EarlierRecord(era, record)));
        earlierHistory.addAll(history);
        history = new RecordHistory();
        copies = new CopyDetector(earlierHistory, newEra);
        log.clear();
        era = newEra;
        nextOffset = 0;
        offsetSum = 0;
        isComplete = false;
    }

    /**
     * Merges records.
     *
     * @param recordsEra era of the records' log
     * @param incoming the records
     * @return those that changed what is believed
     */
    public List<VersionedRecord> merge(long recordsEra, Collection<VersionedRecord> incoming) {
        return recordsEra == era ? merge(incoming, false) : List.of();
    }

    private List<VersionedRecord> merge(Collection<VersionedRecord> incoming, boolean hasEvidence) {
        List<VersionedRecord> changed = new ArrayList<>();
        Set<String> pending = new HashSet<>();
        boolean hasNewEvidence = hasEvidence;
        for (VersionedRecord record : incoming) {
            hasNewEvidence |= observe(record);
            VersionedRecord existing = log.get(record.key());
            if (existing != null && existing.offset() >= record.offset()) {
                continue;
            }
            putIntoLog(record);
            if (floor.contains(record.key())) {
                pending.add(record.key());
            } else if (existing == null && wasRemovedEarlier(record)) {
                VersionedRecord removal = new VersionedRecord(record.key(), earlierEndOffset - 1, null);
                floor.add(new EarlierRecord(earlierEra, removal));
            } else {
                changed.add(record);
            }
        }
        // Each record may reveal the origin of others.
        for (EarlierRecord earlier : floor.all()) {
            VersionedRecord newest = log.get(earlier.record().key());
            if (newest != null
                    && (hasNewEvidence || pending.contains(newest.key()))
                    && floor.yieldsTo(newest, copies.originOf(newest, earlier.era()))) {
                changed.add(newest);
            }
        }
        return changed;
    }

    /** Uses a record to recognize copies. Removals may be derived from a snapshot and are not at their offset in the log. */
    private boolean observe(VersionedRecord record) {
        if (record.value() == null) {
            return false;
        }
        history.add(record, era);
        return copies.observe(record);
    }

    /**
     * Keeps what the log has at the offsets of records that were read from it, to recognize copies in later eras. Unlike
     * relayed removals, those that were read stand at their own offset.
     *
     * @param recordsEra era of the records' log
     * @param read the records
     */
    public void observeRead(long recordsEra, Collection<VersionedRecord> read) {
        if (recordsEra == era) {
            read.forEach(record -> history.add(record, era));
        }
    }

    /** Whether a copied record belongs to a key that had been removed in an earlier era. */
    private boolean wasRemovedEarlier(VersionedRecord record) {
        return record.offset() < earlierEndOffset && copies.originOf(record, earlierEra) != RecordOrigin.WRITTEN;
    }

    /**
     * Merges a complete snapshot: a key that is missing from it was removed before the snapshot's end.
     *
     * @param recordsEra era of the snapshot's log
     * @param snapshot newest record of each key
     * @param endOffset offset after the last record that the snapshot covers
     * @return the records that changed what is believed, including removals
     */
    public List<VersionedRecord> mergeSnapshot(long recordsEra, Collection<VersionedRecord> snapshot, long endOffset) {
        if (recordsEra != era) {
            return List.of();
        }
        if (!isComplete) {
            snapshot.forEach(copies::observe);
            copies.observeWrittenFrom(endOffset);
        }
        List<VersionedRecord> changed = merge(snapshot, !isComplete);
        Set<String> present = new HashSet<>();
        snapshot.forEach(record -> present.add(record.key()));
        for (VersionedRecord existing : List.copyOf(log.values())) {
            if (!present.contains(existing.key()) && existing.value() != null && existing.offset() < endOffset) {
                VersionedRecord removal = new VersionedRecord(existing.key(), endOffset - 1, null);
                putIntoLog(removal);
                floor.remove(existing.key());
                changed.add(removal);
            }
        }
        isComplete = true;
        advanceTo(endOffset);
        return changed;
    }

    private void putIntoLog(VersionedRecord record) {
        VersionedRecord existing = log.put(record.key(), record);
        offsetSum += record.offset() - (existing == null ? -1 : existing.offset());
    }

    /**
     * Merges what another router believes from earlier eras and did not find in the log of this era.
     *
     * @param recordsEra era that the other router follows
     * @param earlier the records
     * @return those that changed what is believed
     */
    public List<VersionedRecord> mergeEarlier(long recordsEra, Collection<EarlierRecord> earlier) {
        List<VersionedRecord> changed = new ArrayList<>();
        if (recordsEra != era) {
            return changed;
        }
        for (EarlierRecord candidate : earlier) {
            VersionedRecord logged = log.get(candidate.record().key());
            RecordOrigin origin = RecordOrigin.POSSIBLY_COPIED;
            if (logged != null) {
                origin = copies.originOf(logged, candidate.era());
            } else if (precedesEarlierEnd(candidate)) {
                origin = RecordOrigin.WRITTEN;
            }
            if (candidate.era() < era && floor.merge(candidate, logged, origin)) {
                changed.add(candidate.record());
            }
        }
        return changed;
    }

    /** Whether this replica has read more of the log of an earlier era than the record. */
    private boolean precedesEarlierEnd(EarlierRecord earlier) {
        return earlier.era() < earlierEra
                || (earlier.era() == earlierEra && earlier.record().offset() < earlierEndOffset);
    }

    /**
     * Uses what another router knows of the origin of records.
     *
     * @param recordsEra era that the other router follows
     * @param writtenFrom offset from which all records were written in that era
     * @return the records that changed what is believed
     */
    public List<VersionedRecord> observeWrittenFrom(long recordsEra, long writtenFrom) {
        if (recordsEra != era || writtenFrom >= copies.writtenFrom()) {
            return List.of();
        }
        copies.observeWrittenFrom(writtenFrom);
        return merge(List.of(), true);
    }

    /**
     * Offset from which all records of the log were written in this era.
     *
     * @return the lowest such offset that is known, {@link Long#MAX_VALUE} if none is
     */
    public long writtenFrom() {
        return copies.writtenFrom();
    }

    /**
     * Beliefs whose keys are not in the complete log of this era: the copy lacked them, and their writers have not written
     * them again.
     *
     * @return the records, empty before the first snapshot of the era
     */
    public List<VersionedRecord> lostRecords() {
        List<VersionedRecord> lost = new ArrayList<>();
        for (EarlierRecord earlier : floor.all()) {
            if (isComplete
                    && earlier.record().value() != null
                    && !isLogged(earlier.record().key())) {
                lost.add(earlier.record());
            }
        }
        return lost;
    }

    private boolean isLogged(String key) {
        VersionedRecord logged = log.get(key);
        return logged != null && logged.value() != null;
    }

    /**
     * Gives up the lost records.
     *
     * @return a removal for each of them
     */
    public List<VersionedRecord> dropLost() {
        List<VersionedRecord> removals = new ArrayList<>();
        for (VersionedRecord lost : lostRecords()) {
            removals.add(floor.drop(lost.key()));
        }
        return removals;
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
     * Era of the log that is followed.
     *
     * @return the era, 0 if the store has named none
     */
    public long era() {
        return era;
    }

    /**
     * Offset before which all records of this era's log have been merged.
     *
     * @return the offset, 0 before the first snapshot of the era
     */
    public long nextOffset() {
        return nextOffset;
    }

    /**
     * End of the log of the newest earlier era that was followed completely.
     *
     * @return the offset, 0 if there is none
     */
    public long earlierEndOffset() {
        return earlierEndOffset;
    }

    /**
     * Whether a snapshot of this era has been merged.
     *
     * @return false until then
     */
    public boolean isComplete() {
        return isComplete;
    }

    /**
     * Sum of the newest offsets of all keys in the log of this era, each counted from 1. It only grows within an era. If one
     * of two replicas has all records of the other, they are equal if their sums are.
     *
     * @return the sum
     */
    public long offsetSum() {
        return offsetSum;
    }

    /**
     * Believed record of each key, including removed keys.
     *
     * @return the records
     */
    public List<VersionedRecord> allRecords() {
        Map<String, VersionedRecord> believed = new HashMap<>(log);
        floor.all().forEach(earlier -> believed.put(earlier.record().key(), earlier.record()));
        return List.copyOf(believed.values());
    }

    /**
     * Newest record of each key in the log of this era, including removed keys.
     *
     * @return the records
     */
    public List<VersionedRecord> logRecords() {
        return List.copyOf(log.values());
    }

    /**
     * Beliefs of earlier eras that the log of this era has not confirmed.
     *
     * @return the records, including removals of keys that the log has
     */
    public List<EarlierRecord> earlierRecords() {
        List<EarlierRecord> earlierRecords = new ArrayList<>();
        for (EarlierRecord earlier : floor.all()) {
            if (earlier.record().value() != null
                    || log.containsKey(earlier.record().key())) {
                earlierRecords.add(earlier);
            }
        }
        return earlierRecords;
    }
}
