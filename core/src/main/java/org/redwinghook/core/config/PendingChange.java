package org.redwinghook.core.config;

/**
 * A change that cannot be decided before the section's current version is known.
 *
 * @param offset offset of the record
 * @param timestampMillis time of the append by the log service's clock, in milliseconds since 1970
 * @param change the change
 */
public record PendingChange(long offset, long timestampMillis, SectionChange change) {}
