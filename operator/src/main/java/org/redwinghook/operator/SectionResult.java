package org.redwinghook.operator;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.redwinghook.core.document.Finding;
import org.redwinghook.runtime.config.PublishResult;
import org.redwinghook.runtime.process.ExitCode;

/**
 * What became of one section.
 *
 * @param section name of the section
 * @param outcome how its change ended
 * @param version version now in force, as far as it is known
 * @param team team that owns the section after a conflict
 * @param findings what is wrong with an invalid section
 * @param reason why the outcome is unknown
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record SectionResult(
        String section, Outcome outcome, long version, String team, List<Finding> findings, String reason) {

    /** How a change ended. */
    public enum Outcome {
        /** The change was read back from the log as accepted. */
        ACCEPTED(ExitCode.DONE),
        /** The section has the wanted content already; nothing was appended. */
        UNCHANGED(ExitCode.DONE),
        /** Another change came first or another team owns the section; the change has no effect. */
        CONFLICT(ExitCode.CONFLICT),
        /** The section would not be valid; the change has no effect. */
        INVALID(ExitCode.FINDINGS),
        /** The log did not tell whether the change took effect. */
        UNKNOWN(ExitCode.FAILED),
        /** Nothing was appended because of another section. */
        NOT_TRIED(ExitCode.DONE);

        private final ExitCode exitCode;

        Outcome(ExitCode exitCode) {
            this.exitCode = exitCode;
        }

        /**
         * Exit code of a command for one section.
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
     * Describes how publishing a section ended.
     *
     * @param section name of the section
     * @param result what the publisher found on the log
     * @return the description
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
     * A section that has the wanted content already.
     *
     * @param section name of the section
     * @param version its version
     * @return the description
     */
    public static SectionResult unchanged(String section, long version) {
        return new SectionResult(section, Outcome.UNCHANGED, version, "", List.of(), "");
    }

    /**
     * A section whose change was not appended because of another section.
     *
     * @param section name of the section
     * @return the description
     */
    public static SectionResult notTried(String section) {
        return new SectionResult(section, Outcome.NOT_TRIED, 0, "", List.of(), "");
    }

    /**
     * The result in words.
     *
     * @return one line
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
