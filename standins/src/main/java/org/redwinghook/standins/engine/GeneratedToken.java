package org.redwinghook.standins.engine;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One token of the engine stand-in. Its text tells a checker which generation it belongs to and at which place.
 *
 * @param word the word
 * @param index place in the output, from 1
 * @param generation identifier of the generation
 */
public record GeneratedToken(String word, int index, String generation) {

    private static final Pattern TEXT = Pattern.compile("(\\w+)\\[(\\d+)@([^\\]]*)\\] ");

    /**
     * Reads the text of one token.
     *
     * @param text the text
     * @return the word, empty if this engine did not write the text
     */
    public static Optional<GeneratedToken> parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new GeneratedToken(matcher.group(1), Integer.parseInt(matcher.group(2)), matcher.group(3)));
    }

    /**
     * Text of the token, which ends with a space.
     *
     * @return the text
     */
    public String text() {
        return word + "[" + index + "@" + generation + "] ";
    }
}
