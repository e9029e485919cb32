package org.redwinghook.core.config;

/** What became of a record in the fold. */
public enum FoldResult {
    /** The change is in force. */
    ACCEPTED,
    /** The change replaces another version than the current one. */
    CONFLICT,
    /** The section belongs to another team. */
    WRONG_TEAM,
    /** The section would not be valid. */
    INVALID,
    /** The version that the change replaces is not known yet. */
    PENDING,
    /** The copy gave the section a base or a newer version. */
    CARRIED,
    /** The record has been folded before, or says nothing new. */
    IGNORED
}
