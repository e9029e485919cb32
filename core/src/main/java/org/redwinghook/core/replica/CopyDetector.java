package org.redwinghook.core.replica;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Tells the records that the log of an era took over from earlier eras from those that were written since. A log that came
 * back from a copy begins with the first records of the earlier log, so one recognized record decides on all on one side
 * of it.
 */
final class CopyDetector {

    private final RecordHistory earlier;
    private final long era;
    private long copiedBelow;

    /** By era, the lowest offset from which all records of the log were written after the end of that era. */
    private final NavigableMap<Long, Long> writtenAfterEra = new TreeMap<>();

    /**
     * Creates a detector.
     *
     * @param earlier records that were seen in earlier eras
     * @param era era of the log
     */
    CopyDetector(RecordHistory earlier, long era) {
        this.earlier = earlier;
        this.era = era;
    }

    /**
     * Uses a record of the era's log to decide on others.
     *
     * @param record the record
     * @return whether it changes what is known of others
     */
    boolean observe(VersionedRecord record) {
        if (earlier.contains(record)) {
            boolean isNews = copiedBelow <= record.offset();
            copiedBelow = Math.max(copiedBelow, record.offset() + 1);
            return isNews;
        }
        long seenEra = earlier.eraOf(record.offset());
        return seenEra != RecordHistory.NO_ERA && observeWrittenAfter(seenEra, record.offset());
    }

    /**
     * Records that all records from an offset on were written in the era, as those after the end of a snapshot.
     *
     * @param offset the offset
     */
    void observeWrittenFrom(long offset) {
        observeWrittenAfter(era - 1, offset);
    }

    private boolean observeWrittenAfter(long earlierEra, long offset) {
        return writtenAfterEra.merge(earlierEra, offset, Math::min) == offset;
    }

    /**
     * Offset from which all records were written in the era.
     *
     * @return the lowest such offset that is known, {@link Long#MAX_VALUE} if none is
     */
    long writtenFrom() {
        return writtenAfter(era - 1);
    }

    private long writtenAfter(long earlierEra) {
        long lowest = Long.MAX_VALUE;
        for (long offset : writtenAfterEra.tailMap(earlierEra, true).values()) {
            lowest = Math.min(lowest, offset);
        }
        return lowest;
    }

    /**
     * Origin of a record, as far as the router can tell.
     *
     * @param record the record
     * @param earlierEra era of the belief to which the record is compared
     * @return whether it was written after that era
     */
    RecordOrigin originOf(VersionedRecord record, long earlierEra) {
        // A record may be written again at the offset that it had.
        if (record.offset() >= writtenAfter(earlierEra)) {
            return RecordOrigin.WRITTEN;
        }
        if (earlier.contains(record)) {
            return RecordOrigin.COPIED;
        }
        return record.offset() < copiedBelow ? RecordOrigin.COPIED : RecordOrigin.POSSIBLY_COPIED;
    }
}
