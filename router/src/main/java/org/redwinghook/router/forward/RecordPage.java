package org.redwinghook.router.forward;

import java.util.List;

import org.redwinghook.core.replica.VersionedRecord;

/**
 * Records read from a topic.
 *
 * @param records the records, ordered by offset or, in a snapshot, by key
 * @param endOffset offset after the last record that the page covers
 * @param logEndOffset end of the topic when it was read; a page that ends before it lacks the newest records
 * @param era era of the store that the offsets belong to, 0 if the store has named none
 */
public record RecordPage(List<VersionedRecord> records, long endOffset, long logEndOffset, long era) {

    public RecordPage {
        records = List.copyOf(records);
    }

    /**
     * Whether the page has all records that the topic had when it was read.
     *
     * @return false if another page follows
     */
    public boolean reachesEnd() {
        return endOffset >= logEndOffset;
    }
}
