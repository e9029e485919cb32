package org.redwinghook.core.message;

import java.util.List;

import org.redwinghook.core.config.PendingChange;
import org.redwinghook.core.config.SectionState;

/**
 * Answers a pull with the records after the asker's offset, or with whole sections if they are no longer kept. An
 * answer may have several parts, sent without other parts in between.
 *
 * @param after offset after which the records start; the answer holds all records from there
 * @param through offset through which the asker has folded after the last part
 * @param records records in order of their offsets; empty if whole sections are sent
 * @param sections whole sections; empty if records are sent
 * @param pending changes that the sender could not decide yet; empty if records are sent
 * @param whole whether whole sections are sent
 * @param last whether this is the last part
 */
public record ConfigurationRecords(
        long after,
        long through,
        List<RawRecord> records,
        List<SectionState> sections,
        List<PendingChange> pending,
        boolean whole,
        boolean last)
        implements Message {

    public ConfigurationRecords {
        records = List.copyOf(records);
        sections = List.copyOf(sections);
        pending = List.copyOf(pending);
    }
}
