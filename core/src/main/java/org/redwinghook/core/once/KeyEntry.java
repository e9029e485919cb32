package org.redwinghook.core.once;

import org.jspecify.annotations.Nullable;

/**
 * State of a key according to the log.
 *
 * @param executor executor of the winning intent
 * @param winner the winning intent
 * @param lastIntentMillis log time of the newest intent for the key, winning or not, in milliseconds since 1970
 * @param outcome outcome of the winning intent without its answer, null while it is not known
 * @param answerOffset offset of the record with the stored answer, 0 if there is none
 */
public record KeyEntry(
        ExecutorIdentity executor,
        Intent winner,
        long lastIntentMillis,
        @Nullable Outcome outcome,
        long answerOffset) {

    KeyEntry withLastIntentMillis(long timeMillis) {
        return new KeyEntry(executor, winner, timeMillis, outcome, answerOffset);
    }

    /** Answers are kept only on the log, since those of a whole window may not fit into memory. */
    KeyEntry withOutcome(Outcome newOutcome, long offset) {
        Outcome withoutAnswer = new Outcome(newOutcome.number(), newOutcome.key(), newOutcome.kind(), null);
        return new KeyEntry(
                executor, winner, lastIntentMillis, withoutAnswer, newOutcome.answer() == null ? 0 : offset);
    }

    boolean isWonBy(ExecutorIdentity candidate, long number) {
        return executor.equals(candidate) && winner.number() == number;
    }
}
