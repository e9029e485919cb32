package org.redwinghook.core.replica;

/**
 * A record from the log of an earlier era of the store, which is believed until the log of the present era overrides it.
 *
 * @param era era of its log
 * @param record the record
 */
public record EarlierRecord(long era, VersionedRecord record) {}
