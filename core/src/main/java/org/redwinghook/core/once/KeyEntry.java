package org.redwinghook.core.once;

import org.jspecify.annotations.Nullable;

/**
 * What the log says about a key.
 *
 * @param executor executor of the winning intent
 * @param winner the winning intent
 * @param lastIntentMillis log time of the newest intent for the key, winning or not, in milliseconds since 1970
 * @param outcome outcome of the winning intent, absent while it is not known
 */
public record KeyEntry(
        ExecutorIdentity executor,
        Intent winner,
        long lastIntentMillis,
        @Nullable Outcome outcome) {

    KeyEntry seenAgain(long timeMillis) {
        return new KeyEntry(executor, winner, timeMillis, outcome);
    }

    KeyEntry withOutcome(Outcome ended) {
        return new KeyEntry(executor, winner, lastIntentMillis, ended);
    }

    boolean isWonBy(ExecutorIdentity candidate, long number) {
        return executor.equals(candidate) && winner.number() == number;
    }
}
