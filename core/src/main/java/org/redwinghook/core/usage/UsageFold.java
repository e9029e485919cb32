package org.redwinghook.core.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Sums the usage records of all processes. Repeated and outdated copies of records have no effect. */
public final class UsageFold {

    private final Map<Source, ProcessCounts> sources = new HashMap<>();

    /**
     * Adds a record.
     *
     * @param record the record
     * @return false if the record or a newer one of the same process has been added before
     */
    public boolean add(UsageRecord record) {
        ProcessCounts counted = sources.computeIfAbsent(
                new Source(record.process(), record.incarnation()), ignored -> new ProcessCounts());
        if (record.sequence() <= counted.lastSequence) {
            return false;
        }
        counted.lastSequence = record.sequence();
        record.entries().forEach(entry -> counted.counts.put(entry.key(), entry.counts()));
        return true;
    }

    /**
     * Sums the counts by key.
     *
     * @return sums over all processes and incarnations
     */
    public Map<UsageKey, UsageCounts> totals() {
        Map<UsageKey, UsageCounts> totals = new HashMap<>();
        sources.values()
                .forEach(counted ->
                        counted.counts.forEach((key, counts) -> totals.merge(key, counts, UsageCounts::plus)));
        return totals;
    }

    /**
     * Sums the counts of one side by owner, for billing.
     *
     * @param side side whose counts are billed
     * @return counts by owner
     */
    public Map<String, UsageCounts> billByOwner(UsageSide side) {
        Map<String, UsageCounts> bill = new TreeMap<>();
        totals().forEach((key, counts) -> {
            if (key.side() == side) {
                bill.merge(key.owner(), counts, UsageCounts::plus);
            }
        });
        return bill;
    }

    /**
     * Compares the counts of both sides.
     *
     * @return the differences, one for each key whose counts differ
     */
    public List<UsageDifference> reconcile() {
        Map<UsageKey, UsageCounts> totals = totals();
        Set<UsageKey> routerKeys = new LinkedHashSet<>();
        totals.keySet()
                .forEach(key ->
                        routerKeys.add(new UsageKey(key.owner(), key.customer(), key.service(), UsageSide.ROUTER)));
        List<UsageDifference> differences = new ArrayList<>();
        for (UsageKey key : routerKeys) {
            UsageCounts router = totals.getOrDefault(key, UsageCounts.ZERO);
            UsageCounts endpoint = totals.getOrDefault(
                    new UsageKey(key.owner(), key.customer(), key.service(), UsageSide.ENDPOINT), UsageCounts.ZERO);
            if (!router.equals(endpoint)) {
                differences.add(new UsageDifference(key.owner(), key.customer(), key.service(), router, endpoint));
            }
        }
        return differences;
    }

    private record Source(String process, long incarnation) {}

    private static final class ProcessCounts {
        private final Map<UsageKey, UsageCounts> counts = new HashMap<>();
        private long lastSequence;
    }
}
