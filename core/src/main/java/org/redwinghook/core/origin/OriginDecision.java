package org.redwinghook.core.origin;

import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Decides at which software version a resumed stream may go on. Load: a caller resumes a stream at a router that did not
 * begin it, while endpoints of several versions serve or those of one have just left.
 */
public enum OriginDecision {
    /** The version at which the stream began is known. */
    KNOWN,
    /** Only one version can have begun the stream. */
    SINGLE,
    /** Several versions can have begun the stream, or none. */
    UNKNOWN;

    /**
     * Decides for a stream.
     *
     * @param known version at which it began, null if no record of it was found
     * @param possible versions that may have begun streams of the service
     * @param isComplete whether no version can be missing from the possible ones
     * @return the decision
     */
    public static OriginDecision of(@Nullable String known, Set<String> possible, boolean isComplete) {
        if (known != null) {
            return KNOWN;
        }
        return isComplete && possible.size() == 1 ? SINGLE : UNKNOWN;
    }

    /**
     * Version at which the stream may go on.
     *
     * @param known version at which it began, null if no record of it was found
     * @param possible versions that may have begun streams of the service
     * @return the version, empty if the stream may not go on
     */
    public Optional<String> version(@Nullable String known, Set<String> possible) {
        return switch (this) {
            case KNOWN -> Optional.ofNullable(known);
            case SINGLE -> possible.stream().findFirst();
            case UNKNOWN -> Optional.empty();
        };
    }
}
