package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * A generation completed.
 *
 * @param exchange exchange of the generation
 * @param reason why the engine ended it
 * @param usage tokens counted by the sidecar
 * @param lastSequence sequence number of the last token, 0 if there was none
 * @param load load of the endpoint
 */
public record Finished(
        long exchange,
        FinishReason reason,
        TokenUsage usage,
        long lastSequence,
        @Nullable EndpointLoad load) implements Message {}
