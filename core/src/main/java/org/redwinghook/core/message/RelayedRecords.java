package org.redwinghook.core.message;

import java.util.List;

/**
 * Records of the platform's store that a router relays, so that routers that cannot reach the store stay up to date.
 *
 * @param topic name of the topic
 * @param records the records; the receiver applies those that are newer than its own
 * @param mayHaveLapsed whether removals may be expiries that were caused only by an outage of the store
 */
public record RelayedRecords(String topic, List<KeyedRecord> records, boolean mayHaveLapsed) implements Message {

    public RelayedRecords {
        records = List.copyOf(records);
    }
}
