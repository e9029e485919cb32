package org.redwinghook.core.replica;

/**
 * Tells the records that the log of an era took over from those that were written in that era. A log that came back from a
 * copy begins with the first records of the earlier log, so one recognized record decides on all on one side of it.
 */
final class CopyDetector {

    private final RecordHistory earlier;
    private long copiedBelow;
    private long writtenFrom = Long.MAX_VALUE;

    /**
     * Creates a detector.
     *
     * @param earlier records that were seen in earlier eras
     */
    CopyDetector(RecordHistory earlier) {
        this.earlier = earlier;
    }

    /**
     * Uses a record of the era's log to decide on others.
     *
     * @param record the record
     * @return whether it changes what is known of others
     */
    boolean observe(VersionedRecord record) {
        long copiedBefore = copiedBelow;
        long writtenBefore = writtenFrom;
        if (earlier.contains(record)) {
            copiedBelow = Math.max(copiedBelow, record.offset() + 1);
        } else if (earlier.knowsOffset(record.offset())) {
            writtenFrom = Math.min(writtenFrom, record.offset());
        }
        return copiedBelow != copiedBefore || writtenFrom != writtenBefore;
    }

    /**
     * Records that all records from an offset on were written in the era, as those after the end of a snapshot.
     *
     * @param offset the offset
     */
    void observeWrittenFrom(long offset) {
        writtenFrom = Math.min(writtenFrom, offset);
    }

    /**
     * Offset from which all records were written in the era.
     *
     * @return the lowest such offset that is known, {@link Long#MAX_VALUE} if none is
     */
    long writtenFrom() {
        return writtenFrom;
    }

    /**
     * Origin of a record.
     *
     * @param record the record
     * @return its origin, as far as the router can tell
     */
    RecordOrigin originOf(VersionedRecord record) {
        // A record may be written again at the offset that it had.
        if (record.offset() >= writtenFrom) {
            return RecordOrigin.WRITTEN;
        }
        if (earlier.contains(record)) {
            return RecordOrigin.COPIED;
        }
        return record.offset() < copiedBelow ? RecordOrigin.COPIED : RecordOrigin.POSSIBLY_COPIED;
    }
}
