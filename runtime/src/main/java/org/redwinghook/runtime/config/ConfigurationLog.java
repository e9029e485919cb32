package org.redwinghook.runtime.config;

import io.vertx.core.Future;
import org.redwinghook.runtime.platform.LogPage;

/** The stream {@code configuration} of the platform's log service. */
public interface ConfigurationLog {

    /** Name of the stream on the log. */
    String STREAM = "configuration";

    /**
     * Reads records.
     *
     * @param firstOffset offset to read from
     * @param maximumRecords maximum number of records to return
     * @return the records from that offset on that the log still retains
     */
    Future<LogPage> read(long firstOffset, int maximumRecords);

    /**
     * Appends a record.
     *
     * @param data the record
     * @return the offset of the record; after a failure the record may have been appended or not
     */
    Future<Long> append(byte[] data);
}
