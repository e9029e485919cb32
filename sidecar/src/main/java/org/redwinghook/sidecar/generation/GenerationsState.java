package org.redwinghook.sidecar.generation;

import java.util.Map;

/**
 * State of the generations for the state dump.
 *
 * @param stages generations kept, by stage
 * @param withoutFollower generations that no router follows now
 * @param undelivered generations whose end no follower was sent
 * @param paused generations whose engine stream is not read for want of memory
 * @param characters characters of all tokens kept
 */
public record GenerationsState(
        Map<GenerationState, Long> stages, long withoutFollower, long undelivered, long paused, long characters) {

    public GenerationsState {
        stages = Map.copyOf(stages);
    }
}
