package org.redwinghook.core.config;

/** What operators can take out and bring back. */
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
     * Key of the entry in a section of availability.
     *
     * @return the key
     */
    public String key() {
        return key;
    }
}
