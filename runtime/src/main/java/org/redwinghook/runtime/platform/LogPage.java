package org.redwinghook.runtime.platform;

import java.util.List;

/**
 * Records read from a stream.
 *
 * @param firstOffset first offset that the log still retains
 * @param nextOffset offset of the next record to be appended
 * @param records records in the order of their offsets
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {

    public LogPage {
        records = List.copyOf(records);
    }
}
