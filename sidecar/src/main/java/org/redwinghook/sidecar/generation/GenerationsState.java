package org.redwinghook.sidecar.generation;

import java.util.Map;

/**
 * State of the generations for the state dump.
 *
 * @param stages number of retained generations by state
 * @param withoutFollower number of generations without a subscription
 * @param undelivered number of generations whose end was not delivered
 * @param paused number of generations whose engine stream is paused to limit memory
 * @param characters number of characters of all retained tokens
 */
public record GenerationsState(
        Map<GenerationState, Long> stages, long withoutFollower, long undelivered, long paused, long characters) {

    public GenerationsState {
        stages = Map.copyOf(stages);
    }
}
