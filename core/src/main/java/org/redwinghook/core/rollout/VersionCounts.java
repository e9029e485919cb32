package org.redwinghook.core.rollout;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * Responses of one version.
 *
 * @param ended responses, good or bad
 * @param failures responses that failed
 * @param slow responses that took several times as long as those of the old version
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record VersionCounts(long ended, long failures, long slow) {

    /** No responses. */
    public static final VersionCounts NONE = new VersionCounts(0, 0, 0);

    /**
     * Responses that failed or were slow.
     *
     * @return the number
     */
    @JsonIgnore
    public long bad() {
        return failures + slow;
    }

    /**
     * Responses that neither failed nor were slow.
     *
     * @return the number
     */
    @JsonIgnore
    public long good() {
        return ended - bad();
    }

    VersionCounts minus(VersionCounts other) {
        return new VersionCounts(ended - other.ended, failures - other.failures, slow - other.slow);
    }

    VersionCounts plus(VersionCounts other) {
        return new VersionCounts(ended + other.ended, failures + other.failures, slow + other.slow);
    }
}
