package org.redwinghook.runtime.platform;

import java.util.List;

/**
 * Records read from a stream.
 *
 * @param firstOffset first offset that the log still keeps
 * @param nextOffset offset that the next append will get
 * @param records records in order of their offsets
 */
public record LogPage(long firstOffset, long nextOffset, List<LogRecord> records) {

    public LogPage {
        records = List.copyOf(records);
    }
}
