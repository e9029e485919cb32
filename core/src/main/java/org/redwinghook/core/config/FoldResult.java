package org.redwinghook.core.config;

/** How a record was applied to the state of its section. */
public enum FoldResult {
    /** The change is in force. */
    ACCEPTED,
    /** The change replaces a version other than the current one. */
    CONFLICT,
    /** The section belongs to another team. */
    WRONG_TEAM,
    /** The section would not be valid. */
    INVALID,
    /** The change cannot be decided before missing records or a snapshot are known. */
    PENDING,
    /** The snapshot set the first known or a newer version of the section. */
    CARRIED,
    /** The record has been folded before or contains nothing new. */
    IGNORED
}
