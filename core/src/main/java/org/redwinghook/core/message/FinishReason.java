package org.redwinghook.core.message;

/** Why an engine stopped a generation that is whole. */
public enum FinishReason {
    /** The model ended its output. */
    STOP("stop"),
    /** The largest permitted output was reached. */
    LENGTH("length");

    private final String wireName;

    FinishReason(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Name in the callers' protocol.
     *
     * @return the name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Finds the reason by its name in the callers' protocol.
     *
     * @param wireName the name
     * @return the reason; {@link #STOP} for names that this version does not know
     */
    public static FinishReason ofWireName(String wireName) {
        return LENGTH.wireName.equals(wireName) ? LENGTH : STOP;
    }
}
