package org.redwinghook.core.message;

/**
 * An undecoded record of the log.
 *
 * @param offset offset in its stream, counted from 1
 * @param timestampMillis time of the append by the log service's clock, in milliseconds since 1970
 * @param data the record as it was appended
 */
public record RawRecord(long offset, long timestampMillis, byte[] data) {}
