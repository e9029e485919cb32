package org.redwinghook.core.message;

/** Why an engine ended a generation that completed. */
public enum FinishReason {
    /** The model ended its output. */
    STOP("stop"),
    /** The maximum output length was reached. */
    LENGTH("length");

    private final String wireName;

    FinishReason(String wireName) {
        this.wireName = wireName;
    }

    /**
     * Name of the reason in the callers' protocol.
     *
     * @return the name
     */
    public String wireName() {
        return wireName;
    }

    /**
     * Returns the reason with a given name in the callers' protocol.
     *
     * @param wireName the name
     * @return the reason; {@link #STOP} for names that this version does not know
     */
    public static FinishReason ofWireName(String wireName) {
        return LENGTH.wireName.equals(wireName) ? LENGTH : STOP;
    }
}
