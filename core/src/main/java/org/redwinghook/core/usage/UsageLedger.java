package org.redwinghook.core.usage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Keeps the cumulative counts of this process and creates usage records from them. */
public final class UsageLedger {

    // Records contain changed keys only. Every n-th record is full, so that all counts stay on the log when retention
    // removes older records.
    private static final long FULL_RECORD_INTERVAL = 360;

    private final String process;
    private final long incarnation;
    private final Map<UsageKey, UsageCounts> counts = new LinkedHashMap<>();
    private final Set<UsageKey> changed = new HashSet<>();
    private long lastSequence;

    /**
     * Creates an empty ledger.
     *
     * @param process name of this process
     * @param incarnation number of this start
     */
    public UsageLedger(String process, long incarnation) {
        this.process = process;
        this.incarnation = incarnation;
    }

    /**
     * Adds counts of work.
     *
     * @param key key of the work
     * @param work counts to add
     */
    public void add(UsageKey key, UsageCounts work) {
        counts.merge(key, work, UsageCounts::plus);
        changed.add(key);
    }

    /**
     * Creates the next record.
     *
     * @return the record, empty if nothing changed since the last one
     */
    public Optional<UsageRecord> nextRecord() {
        if (changed.isEmpty()) {
            return Optional.empty();
        }
        lastSequence++;
        boolean isFull = lastSequence % FULL_RECORD_INTERVAL == 0;
        List<UsageEntry> entries = new ArrayList<>();
        counts.forEach((key, count) -> {
            if (isFull || changed.contains(key)) {
                entries.add(new UsageEntry(key, count));
            }
        });
        changed.clear();
        return Optional.of(new UsageRecord(process, incarnation, lastSequence, entries));
    }

    /**
     * Whether counts changed since the last record.
     *
     * @return true if there is something to report
     */
    public boolean hasChanges() {
        return !changed.isEmpty();
    }

    /**
     * Counts since the start of the process.
     *
     * @return an immutable copy
     */
    public Map<UsageKey, UsageCounts> counts() {
        return Map.copyOf(counts);
    }
}
