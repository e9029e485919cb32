package org.redwinghook.runtime.config;

import java.util.List;

import org.redwinghook.core.document.Finding;

/** Result of an attempt to publish a change of a section. */
public sealed interface PublishResult {

    /**
     * The change is in force.
     *
     * @param version new version of the section
     */
    record Accepted(long version) implements PublishResult {}

    /** The section already has the requested content. Nothing was appended. */
    record Unchanged() implements PublishResult {}

    /**
     * Another change was accepted first, or another team owns the section. The change has no effect.
     *
     * @param version version of the section that is in force instead
     * @param team team that owns the section
     */
    record Conflict(long version, String team) implements PublishResult {}

    /**
     * The section would not be valid. The change has no effect.
     *
     * @param findings all errors of the section
     */
    record Invalid(List<Finding> findings) implements PublishResult {

        public Invalid {
            findings = List.copyOf(findings);
        }
    }

    /**
     * The result could not be read from the log, so the change may or may not come into force. Publishing the same
     * change again is safe: at most one of several copies takes effect.
     *
     * @param reason why the result is unknown
     */
    record Unknown(String reason) implements PublishResult {}
}
