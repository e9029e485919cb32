package org.redwinghook.core.dispatch;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/** Waiting requests of one priority that can still meet their objective, or that cannot. */
final class QueueLevel {

    /**
     * Share of the capacity that a level may use while more urgent levels take the rest, so that a less urgent kind does
     * not starve.
     */
    private static final double LEAST_SHARE = 0.1;

    private final long key;
    private final List<WaitingEntry> entries = new ArrayList<>();
    private double credit;

    QueueLevel(long key) {
        this.key = key;
    }

    /** Position of the level in the order. */
    long key() {
        return key;
    }

    List<WaitingEntry> entries() {
        return entries;
    }

    /** Records that a more urgent request was sent while requests of this level waited. */
    void addCredit(long work) {
        if (!entries.isEmpty()) {
            credit += work * LEAST_SHARE;
        }
    }

    /** Records that a request of this level was sent. */
    void useCredit(long work) {
        credit = Math.max(0, credit - work);
    }

    /** Whether the level has been passed over for so long that a request comes first. */
    boolean isPromoted(WaitingEntry entry) {
        return credit >= entry.work();
    }

    @Nullable
    WaitingEntry first(Predicate<WaitingEntry> isConsidered) {
        WaitingEntry first = null;
        for (WaitingEntry entry : entries) {
            if (isConsidered.test(entry) && (first == null || entry.isBefore(first))) {
                first = entry;
            }
        }
        return first;
    }

    @Nullable
    WaitingEntry last() {
        WaitingEntry last = null;
        for (WaitingEntry entry : entries) {
            if (last == null || last.isBefore(entry)) {
                last = entry;
            }
        }
        return last;
    }

    /** Removes and returns the requests that can no longer meet their objective. */
    List<WaitingEntry> removeLate(long nowMillis) {
        List<WaitingEntry> late = new ArrayList<>();
        for (Iterator<WaitingEntry> remaining = entries.iterator(); remaining.hasNext(); ) {
            WaitingEntry entry = remaining.next();
            if (entry.isLate(nowMillis)) {
                remaining.remove();
                late.add(entry);
            }
        }
        return late;
    }
}
