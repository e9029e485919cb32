package org.redwinghook.core.rollout;

/** Versions to which a request may go. */
public enum VersionChoice {
    /** To the endpoints of the new version that take part in the trial; to those in use if none of them may take it. */
    TRIAL(true, true),
    /** Only to the versions in use. */
    OLD(false, false),
    /** To the versions in use; to the new one if none of their endpoints may take it. */
    OLD_BEFORE_NEW(false, true),
    /** Only to the new version. */
    NEW(true, false),
    /** To the new version; to those in use if none of its endpoints may take it. */
    NEW_BEFORE_OLD(true, true);

    private final boolean prefersNew;
    private final boolean allowsOther;

    VersionChoice(boolean prefersNew, boolean allowsOther) {
        this.prefersNew = prefersNew;
        this.allowsOther = allowsOther;
    }

    /**
     * Version that is tried first.
     *
     * @return whether it is the new one
     */
    public boolean prefersNew() {
        return prefersNew;
    }

    /**
     * Whether the other version may take the request if the preferred one cannot.
     *
     * @return false if the request is refused then
     */
    public boolean allowsOther() {
        return allowsOther;
    }
}
