package org.redwinghook.router.forward;

import java.util.List;

import org.redwinghook.core.replica.VersionedRecord;

/**
 * Records read from a topic.
 *
 * @param records the records, in the order of their offsets or, for a snapshot, of their keys
 * @param endOffset offset after the last record that the page covers
 */
public record RecordPage(List<VersionedRecord> records, long endOffset) {

    public RecordPage {
        records = List.copyOf(records);
    }
}
