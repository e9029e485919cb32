package org.redwinghook.core.once;

import java.util.List;

/**
 * One record of a partition's stream. Its outcomes take effect before its intents.
 *
 * @param executor executor that appended the record
 * @param sequence number of the batch, never used twice by one executor in one partition
 * @param outcomes outcomes of earlier attempts
 * @param intents intents of new attempts
 */
public record IntentBatch(ExecutorIdentity executor, long sequence, List<Outcome> outcomes, List<Intent> intents) {

    public IntentBatch {
        outcomes = List.copyOf(outcomes);
        intents = List.copyOf(intents);
    }
}
