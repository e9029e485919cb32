package org.redwinghook.core.replica;

import org.jspecify.annotations.Nullable;

/** Reads the numbers that writers give to their records. */
@FunctionalInterface
public interface StatementNumbers {

    /** For logs whose writers do not number their records. */
    StatementNumbers NONE = record -> null;

    /**
     * Number of a record.
     *
     * @param record the record
     * @return the number, null if the record has none that can be read
     */
    @Nullable
    StatementNumber of(VersionedRecord record);
}
