package org.redwinghook.core.config;

/** Types of places whose availability operators set. */
public enum PlaceKind {
    /** A data centre as a whole. */
    DATA_CENTRE("dataCentre"),
    /** A single VM. */
    VM("vm");

    private final String key;

    PlaceKind(String key) {
        this.key = key;
    }

    /**
     * Key of the entry in an availability section.
     *
     * @return the key
     */
    public String key() {
        return key;
    }
}
