package org.redwinghook.core.stream;

import java.util.ArrayList;
import java.util.List;

/** Tokens of one generation in order. The first token has sequence number 1. */
public final class TokenBuffer {

    private final List<String> texts = new ArrayList<>();
    private long characters;

    /**
     * Appends a token.
     *
     * @param text text of the token
     * @return its sequence number
     */
    public long append(String text) {
        texts.add(text);
        characters += text.length();
        return texts.size();
    }

    /**
     * Sequence number of the last token.
     *
     * @return the number, 0 if there is none
     */
    public long lastSequence() {
        return texts.size();
    }

    /**
     * Number of characters of all tokens.
     *
     * @return the number
     */
    public long characters() {
        return characters;
    }

    /**
     * Consecutive tokens.
     *
     * @param first first sequence number
     * @param last last sequence number; tokens after the newest one are omitted
     * @return texts from first to last
     */
    public List<String> slice(long first, long last) {
        long end = Math.min(last, texts.size());
        if (first > end) {
            return List.of();
        }
        return List.copyOf(texts.subList((int) first - 1, (int) end));
    }
}
