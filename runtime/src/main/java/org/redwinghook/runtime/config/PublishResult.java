package org.redwinghook.runtime.config;

import java.util.List;

import org.redwinghook.core.document.Finding;

/** How an attempt to change a section ended. */
public sealed interface PublishResult {

    /**
     * The change is in force.
     *
     * @param version new version of the section
     */
    record Accepted(long version) implements PublishResult {}

    /** The section already has the wanted content; nothing was appended. */
    record Unchanged() implements PublishResult {}

    /**
     * Another change came first, or another team owns the section. The change has no effect.
     *
     * @param version version of the section that won
     * @param team team that owns the section
     */
    record Conflict(long version, String team) implements PublishResult {}

    /**
     * The section would not be valid. The change has no effect.
     *
     * @param findings everything that is wrong
     */
    record Invalid(List<Finding> findings) implements PublishResult {

        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * The log cannot be reached, so the change may or may not come into force. Publishing the same change again is
     * safe: of several copies at most one has an effect.
     *
     * @param reason why the log did not tell
     */
    record Unknown(String reason) implements PublishResult {}
}
