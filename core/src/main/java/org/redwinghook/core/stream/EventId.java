package org.redwinghook.core.stream;

import java.util.Optional;

/**
 * Identifier of a server-sent event: a token of a generation, written {@code <generation>.<sequence>}. A generation is
 * named {@code <vm>.<incarnation>.<number>}; the name of the VM may itself contain dots.
 *
 * @param generation identifier of the generation
 * @param sequence sequence number of the token, 0 for the position before the first token
 */
public record EventId(String generation, long sequence) {

    private static final int MAXIMUM_SEQUENCE_DIGITS = 18;

    /**
     * Parses an identifier.
     *
     * @param text text as it was sent to the caller
     * @return the identifier, empty if the text is not a valid one
     */
    public static Optional<EventId> parse(String text) {
        int dot = text.lastIndexOf('.');
        if (dot < 0) {
            return Optional.empty();
        }
        String digits = text.substring(dot + 1);
        boolean isNumber = !digits.isEmpty()
                && digits.length() <= MAXIMUM_SEQUENCE_DIGITS
                && digits.chars().allMatch(character -> character >= '0' && character <= '9');
        EventId identifier = new EventId(text.substring(0, dot), isNumber ? Long.parseLong(digits) : 0);
        return isNumber && !identifier.vm().isEmpty() ? Optional.of(identifier) : Optional.empty();
    }

    /**
     * VM whose sidecar holds the generation.
     *
     * @return the name, empty if the generation's identifier names none
     */
    public String vm() {
        int numberDot = generation.lastIndexOf('.');
        int incarnationDot = numberDot <= 0 ? -1 : generation.lastIndexOf('.', numberDot - 1);
        return incarnationDot <= 0 ? "" : generation.substring(0, incarnationDot);
    }

    @Override
    public String toString() {
        return generation + "." + sequence;
    }
}
