package org.redwinghook.core.once;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * State of one partition, folded from the records of its stream in log order. Keys expire by log time only, so that all
 * readers remove a key at the same record.
 *
 * <p>A key is remembered until the window has passed after its newest intent, losing intents included. A reader that
 * starts later may take a losing intent for the winner because the winning one is no longer on the log. If only the
 * winner's time counted, the two readers would remove the key at different times, and both could run it.
 */
public final class PartitionFold {

    private final Map<OperationKey, KeyEntry> entries = new LinkedHashMap<>();
    private long logTimeMillis;

    /**
     * Folds the next record.
     *
     * @param batch the record
     * @param offset offset of the record
     * @param timestampMillis log time of the record in milliseconds since 1970
     * @param windowMillis time for which keys are remembered
     * @return numbers of the record's intents that won their keys
     */
    public Set<Long> apply(IntentBatch batch, long offset, long timestampMillis, long windowMillis) {
        logTimeMillis = Math.max(logTimeMillis, timestampMillis);
        removeExpired(logTimeMillis - windowMillis);
        batch.outcomes().forEach(outcome -> applyOutcome(batch.executor(), outcome, offset));
        Set<Long> won = new HashSet<>();
        for (Intent intent : batch.intents()) {
            if (applyIntent(batch.executor(), intent)) {
                won.add(intent.number());
            }
        }
        return won;
    }

    /**
     * Finds the state of a key.
     *
     * @param key the key
     * @return state of the key, empty if no executor has won it
     */
    public Optional<KeyEntry> find(OperationKey key) {
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Number of keys remembered.
     *
     * @return the number
     */
    public int size() {
        return entries.size();
    }

    /** Removes all keys, for a reader that must start again at a later offset. */
    public void clear() {
        entries.clear();
    }

    private boolean applyIntent(ExecutorIdentity executor, Intent intent) {
        // Removing the entry first keeps the map in the order of the newest intents, on which removeExpired relies.
        KeyEntry previous = entries.remove(intent.key());
        if (previous != null) {
            entries.put(intent.key(), previous.withLastIntentMillis(logTimeMillis));
            return false;
        }
        entries.put(intent.key(), new KeyEntry(executor, intent, logTimeMillis, null, 0));
        return true;
    }

    private void applyOutcome(ExecutorIdentity executor, Outcome outcome, long offset) {
        KeyEntry known = entries.get(outcome.key());
        if (known == null || !known.isWonBy(executor, outcome.number()) || known.outcome() != null) {
            return;
        }
        if (outcome.kind() == OutcomeKind.NOT_RUN) {
            entries.remove(outcome.key());
            return;
        }
        entries.replace(outcome.key(), known.withOutcome(outcome, offset));
    }

    private void removeExpired(long oldestRetainedMillis) {
        Iterator<KeyEntry> oldestFirst = entries.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().lastIntentMillis() < oldestRetainedMillis) {
            oldestFirst.remove();
        }
    }
}
