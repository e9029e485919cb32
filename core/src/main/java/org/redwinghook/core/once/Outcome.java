package org.redwinghook.core.once;

import org.jspecify.annotations.Nullable;

/**
 * Tells on the log how an attempt ended.
 *
 * @param number number of the attempt, as in its intent
 * @param key the key
 * @param kind how it ended
 * @param answer answer of the service; absent unless done, and absent if it is too large to be stored
 */
public record Outcome(
        long number,
        OperationKey key,
        OutcomeKind kind,
        @Nullable StoredAnswer answer) {}
