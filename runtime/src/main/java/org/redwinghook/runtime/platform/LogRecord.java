package org.redwinghook.runtime.platform;

/**
 * A record on the log.
 *
 * @param offset place in its stream, counted from 1
 * @param timestampMillis time of the append by the log service's clock, in milliseconds since 1970
 * @param data the record as appended
 */
public record LogRecord(long offset, long timestampMillis, byte[] data) {}
