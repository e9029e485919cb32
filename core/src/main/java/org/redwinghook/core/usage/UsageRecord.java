package org.redwinghook.core.usage;

import java.util.List;

/**
 * Cumulative counts of a process, as appended to the stream of usage records. A record contains the keys that changed;
 * a repeated append of it has the same sequence number.
 *
 * @param process name of the process
 * @param incarnation number of this start of the process
 * @param sequence number of the record, counted from 1 in each incarnation
 * @param entries cumulative counts
 */
public record UsageRecord(String process, long incarnation, long sequence, List<UsageEntry> entries) {

    public UsageRecord {
        entries = List.copyOf(entries);
    }
}
