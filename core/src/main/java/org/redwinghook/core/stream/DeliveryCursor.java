package org.redwinghook.core.stream;

import java.util.List;

import io.vavr.control.Either;

/**
 * Position of one caller in one generation. Lets each token through once and in order, whatever repeats or gaps the
 * connections below it bring.
 */
public final class DeliveryCursor {

    private long delivered;

    /**
     * Starts after a token that the caller already has.
     *
     * @param delivered sequence number of that token, 0 at the start of a generation
     */
    public DeliveryCursor(long delivered) {
        this.delivered = delivered;
    }

    /**
     * Takes a run of tokens.
     *
     * @param firstSequence sequence number of the first text
     * @param texts texts of consecutive tokens
     * @return the texts not yet delivered, or the sequence number after which tokens are missing
     */
    public Either<Long, List<String>> take(long firstSequence, List<String> texts) {
        if (firstSequence > delivered + 1) {
            return Either.left(delivered);
        }
        long known = delivered + 1 - firstSequence;
        if (known >= texts.size()) {
            return Either.right(List.of());
        }
        List<String> fresh = texts.subList((int) known, texts.size());
        delivered += fresh.size();
        return Either.right(fresh);
    }

    /**
     * Sequence number of the last token let through.
     *
     * @return the number, 0 if there is none
     */
    public long delivered() {
        return delivered;
    }
}
