package org.redwinghook.runtime.platform;

/**
 * A record on the log.
 *
 * @param offset position in the stream, counted from 1
 * @param timestampMillis time of the append by the clock of the log service, in milliseconds since 1970-01-01 UTC
 * @param data content of the record
 */
public record LogRecord(long offset, long timestampMillis, byte[] data) {}
