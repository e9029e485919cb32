package org.redwinghook.router.forward;

import java.util.List;

import org.redwinghook.core.replica.VersionedRecord;

/**
 * Records read from a topic.
 *
 * @param records the records, ordered by offset or, in a snapshot, by key
 * @param endOffset offset after the last record that the page covers
 * @param era era of the store that the offsets belong to, 0 if the store has named none
 */
public record RecordPage(List<VersionedRecord> records, long endOffset, long era) {

    public RecordPage {
        records = List.copyOf(records);
    }
}
