package org.redwinghook.core.stream;

import java.util.List;

import io.vavr.control.Either;

/**
 * Delivery position of one caller in one generation. Delivers each token once and in order, regardless of repeats or
 * gaps on the underlying connections.
 */
public final class DeliveryCursor {

    private long lastDeliveredSequence;

    /**
     * Creates a cursor after a token that the caller already has.
     *
     * @param lastDeliveredSequence sequence number of that token, 0 at the start of a generation
     */
    public DeliveryCursor(long lastDeliveredSequence) {
        this.lastDeliveredSequence = lastDeliveredSequence;
    }

    /**
     * Advances the cursor over consecutive tokens.
     *
     * @param firstSequence sequence number of the first text
     * @param texts texts of consecutive tokens
     * @return the texts not yet delivered, or the sequence number after which tokens are missing
     */
    public Either<Long, List<String>> advance(long firstSequence, List<String> texts) {
        if (firstSequence > lastDeliveredSequence + 1) {
            return Either.left(lastDeliveredSequence);
        }
        long alreadyDelivered = lastDeliveredSequence + 1 - firstSequence;
        if (alreadyDelivered >= texts.size()) {
            return Either.right(List.of());
        }
        List<String> newTexts = texts.subList((int) alreadyDelivered, texts.size());
        lastDeliveredSequence += newTexts.size();
        return Either.right(newTexts);
    }

    /**
     * Sequence number of the last delivered token.
     *
     * @return the number, 0 if there is none
     */
    public long lastDeliveredSequence() {
        return lastDeliveredSequence;
    }
}
