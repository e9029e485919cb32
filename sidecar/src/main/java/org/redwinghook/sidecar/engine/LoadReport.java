package org.redwinghook.sidecar.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * Load report of an engine; it may be out of date.
 *
 * @param running generations at the engine
 * @param waiting generations that the engine holds back
 * @param memoryUsedTokens memory in use, in tokens
 * @param memoryCapacityTokens memory in all, in tokens
 * @param startedAt identifier of this start of the engine, absent if the engine reports none
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record LoadReport(
        @JsonProperty("running") int running,
        @JsonProperty("waiting") int waiting,
        @JsonProperty("memory_used_tokens") long memoryUsedTokens,
        @JsonProperty("memory_capacity_tokens") long memoryCapacityTokens,
        @JsonProperty("started_at") @Nullable String startedAt) {}
