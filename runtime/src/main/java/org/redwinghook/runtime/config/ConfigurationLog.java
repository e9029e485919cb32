package org.redwinghook.runtime.config;

import io.vertx.core.Future;
import org.redwinghook.runtime.platform.LogPage;

/** The stream {@code configuration} on the platform's log. */
public interface ConfigurationLog {

    /** Name of the stream. */
    String STREAM = "configuration";

    /**
     * Reads records.
     *
     * @param firstOffset first offset wanted
     * @param maximumRecords most records wanted
     * @return the records that the log still keeps
     */
    Future<LogPage> read(long firstOffset, int maximumRecords);

    /**
     * Appends a record.
     *
     * @param data the record
     * @return the record's offset; a failure does not tell whether the record was appended
     */
    Future<Long> append(byte[] data);
}
