package org.redwinghook.operator;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.redwinghook.core.document.Finding;
import org.redwinghook.runtime.config.PublishResult;
import org.redwinghook.runtime.process.ExitCode;

/**
 * Result of publishing one section.
 *
 * @param section name of the section
 * @param outcome outcome of the change
 * @param version version in force, 0 if not known or if the section does not exist
 * @param team team that owns the section after a conflict
 * @param findings findings of an invalid section, empty otherwise
 * @param reason why the outcome is unknown, empty otherwise
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record SectionResult(
        String section, Outcome outcome, long version, String team, List<Finding> findings, String reason) {

    /** Outcome of a change. */
    public enum Outcome {
        /** The change was read back from the log as accepted. */
        ACCEPTED(ExitCode.DONE),
        /** The section already has the wanted content; nothing was appended. */
        UNCHANGED(ExitCode.DONE),
        /** Another change came first or another team owns the section; the change has no effect. */
        CONFLICT(ExitCode.CONFLICT),
        /** The section would not be valid; the change has no effect. */
        INVALID(ExitCode.FINDINGS),
        /** It could not be determined from the log whether the change took effect. */
        UNKNOWN(ExitCode.FAILED),
        /** Nothing was appended because of another section. */
        NOT_TRIED(ExitCode.DONE);

        private final ExitCode exitCode;

        Outcome(ExitCode exitCode) {
            this.exitCode = exitCode;
        }

        /**
         * Exit code of a command whose section has this outcome.
         *
         * @return the code
         */
        public ExitCode exitCode() {
            return exitCode;
        }
    }

    public SectionResult {
        findings = List.copyOf(findings);
    }

    /**
     * Creates the result for a section from the result of the publisher.
     *
     * @param section name of the section
     * @param result result of the publisher
     * @return the result
     */
    public static SectionResult of(String section, PublishResult result) {
        if (result instanceof PublishResult.Accepted accepted) {
            return new SectionResult(section, Outcome.ACCEPTED, accepted.version(), "", List.of(), "");
        }
        if (result instanceof PublishResult.Conflict conflict) {
            return new SectionResult(section, Outcome.CONFLICT, conflict.version(), conflict.team(), List.of(), "");
        }
        if (result instanceof PublishResult.Invalid invalid) {
            return new SectionResult(section, Outcome.INVALID, 0, "", invalid.findings(), "");
        }
        if (result instanceof PublishResult.Unknown unknown) {
            return new SectionResult(section, Outcome.UNKNOWN, 0, "", List.of(), unknown.reason());
        }
        return unchanged(section, 0);
    }

    /**
     * Creates the result for a section that already has the wanted content.
     *
     * @param section name of the section
     * @param version version of the section
     * @return the result
     */
    public static SectionResult unchanged(String section, long version) {
        return new SectionResult(section, Outcome.UNCHANGED, version, "", List.of(), "");
    }

    /**
     * Creates the result for a section whose change was not appended because of another section.
     *
     * @param section name of the section
     * @return the result
     */
    public static SectionResult notTried(String section) {
        return new SectionResult(section, Outcome.NOT_TRIED, 0, "", List.of(), "");
    }

    /**
     * Describes the result in one line of text.
     *
     * @return the line
     */
    public String describe() {
        return section + ": "
                + switch (outcome) {
                    case ACCEPTED -> "accepted as version " + version;
                    case UNCHANGED -> "unchanged";
                    case CONFLICT -> describeConflict();
                    case INVALID ->
                        "not valid: "
                                + String.join(
                                        "; ",
                                        findings.stream().map(Finding::toString).toList());
                    case UNKNOWN -> "unknown whether it was accepted: " + reason;
                    case NOT_TRIED -> "not tried because of another section";
                };
    }

    private String describeConflict() {
        return version == 0
                ? "conflict: the section does not exist, so its version is 0"
                : "conflict: version " + version + " of team " + team + " is in force; the change has no effect";
    }
}
