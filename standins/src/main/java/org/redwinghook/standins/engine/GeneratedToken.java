package org.redwinghook.standins.engine;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One token of the engine stand-in. Its text contains the generation and the position in it, so that tests can detect
 * lost, repeated and misdirected tokens.
 *
 * @param word the word
 * @param index position in the output, from 1
 * @param generation identifier of the generation
 */
public record GeneratedToken(String word, int index, String generation) {

    private static final Pattern TEXT = Pattern.compile("(\\w+)\\[(\\d+)@([^\\]]*)\\] ");

    /**
     * Parses the text of one token.
     *
     * @param text the text
     * @return the token; empty if the text does not come from the engine stand-in
     */
    public static Optional<GeneratedToken> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new GeneratedToken(matcher.group(1), Integer.parseInt(matcher.group(2)), matcher.group(3)));
    }

    /**
     * Returns the text of the token, which ends with a space.
     *
     * @return the text
     */
    public String text() {
        return word + "[" + index + "@" + generation + "] ";
    }
}
