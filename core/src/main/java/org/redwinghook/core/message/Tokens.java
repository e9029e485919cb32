package org.redwinghook.core.message;

import java.util.List;

/**
 * Consecutive tokens of a generation.
 *
 * @param exchange exchange of the generation
 * @param firstSequence sequence number of the first token, counted from 1
 * @param texts text of each token, in order
 */
public record Tokens(long exchange, long firstSequence, List<String> texts) implements Message {

    public Tokens {
        texts = List.copyOf(texts);
    }
}
