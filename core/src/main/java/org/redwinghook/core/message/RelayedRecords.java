package org.redwinghook.core.message;

import java.util.List;

/**
 * Records of the platform's store that a router relays, so that routers that cannot reach the store stay up to date.
 *
 * @param topic name of the topic
 * @param records the records; the receiver applies those that are newer than its own
 * @param mayHaveLapsed whether removals may be expiries that were caused only by an outage of the store
 * @param era era of the store that the sender follows, 0 if it knows none
 * @param writtenEra era of the log that has the records; an earlier one if the log of the sender's era has lost them
 * @param endOffset offset before which these are the newest records of all keys, 0 if they are only some records
 * @param writtenFrom offset from which all records of the log were written in the sender's era, as far as the sender
 *     knows, 0 if it does not
 */
public record RelayedRecords(
        String topic,
        List<KeyedRecord> records,
        boolean mayHaveLapsed,
        long era,
        long writtenEra,
        long endOffset,
        long writtenFrom)
        implements Message {

    public RelayedRecords {
        records = List.copyOf(records);
    }
}
