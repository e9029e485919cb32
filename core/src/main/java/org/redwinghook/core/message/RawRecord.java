package org.redwinghook.core.message;

/**
 * A record of the log as it was appended.
 *
 * @param offset place in its stream, counted from 1
 * @param timestampMillis time of the append by the log service's clock, in milliseconds since 1970
 * @param data the record
 */
public record RawRecord(long offset, long timestampMillis, byte[] data) {}
