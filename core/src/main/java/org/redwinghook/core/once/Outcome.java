package org.redwinghook.core.once;

import org.jspecify.annotations.Nullable;

/**
 * Records on the log how an attempt ended.
 *
 * @param number number of the attempt, as in its intent
 * @param key the key
 * @param kind how it ended
 * @param answer answer of the service; null unless the attempt is done, and null if the answer is too large to be
 *     stored
 */
public record Outcome(
        long number,
        OperationKey key,
        OutcomeKind kind,
        @Nullable StoredAnswer answer) {}
