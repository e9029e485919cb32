package org.redwinghook.core.message;

import java.util.List;

/**
 * Records of the platform's store that a router passes on, so that one that cannot reach the store follows.
 *
 * @param topic name of the topic
 * @param records the records; each counts if it is newer than what the receiver has
 * @param mayHaveLapsed whether removals may come only from an outage of the store
 */
public record RelayedRecords(String topic, List<KeyedRecord> records, boolean mayHaveLapsed) implements Message {

    public RelayedRecords {
        records = List.copyOf(records);
    }
}
