package org.redwinghook.core.stream;

import java.util.List;

import io.vavr.control.Either;

/**
 * Position of one caller in one generation. Lets each token through once and in order, whatever repeats or gaps the
 * connections below it bring.
 */
public final class DeliveryCursor {

    private long lastDeliveredSequence;

    /**
     * Starts after a token that the caller already has.
     *
     * @param lastDeliveredSequence sequence number of that token, 0 at the start of a generation
     */
    public DeliveryCursor(long lastDeliveredSequence) {
        this.lastDeliveredSequence = lastDeliveredSequence;
    }

    /**
     * Takes a run of tokens.
     *
     * @param firstSequence sequence number of the first text
     * @param texts texts of consecutive tokens
     * @return the texts not yet delivered, or the sequence number after which tokens are missing
     */
    public Either<Long, List<String>> advance(long firstSequence, List<String> texts) {
        if (firstSequence > lastDeliveredSequence + 1) {
            return Either.left(lastDeliveredSequence);
        }
        long known = lastDeliveredSequence + 1 - firstSequence;
        if (known >= texts.size()) {
            return Either.right(List.of());
        }
        List<String> fresh = texts.subList((int) known, texts.size());
        lastDeliveredSequence += fresh.size();
        return Either.right(fresh);
    }

    /**
     * Sequence number of the last token let through.
     *
     * @return the number, 0 if there is none
     */
    public long lastDeliveredSequence() {
        return lastDeliveredSequence;
    }
}
