package org.redwinghook.core.message;

import java.util.List;

import org.redwinghook.core.config.PendingChange;
import org.redwinghook.core.config.SectionState;

/**
 * Answers a {@link ConfigurationPull} with the records after the requester's offset, or with complete sections if these
 * records are no longer kept. An answer may have several parts, which are sent without parts of other answers in
 * between.
 *
 * @param after offset after which the records start; the answer contains all records from there on
 * @param through offset through which the requester has folded after it has applied the last part
 * @param records records in order of their offsets; empty if complete sections are sent
 * @param sections complete sections; empty if records are sent
 * @param pending changes that the sender could not decide yet; empty if records are sent
 * @param whole whether complete sections are sent
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
