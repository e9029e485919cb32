package org.redwinghook.sidecar.engine;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * Load report of an engine; it may be out of date.
 *
 * @param running number of generations that the engine runs
 * @param waiting number of generations in the engine's queue
 * @param memoryUsedTokens used memory in tokens
 * @param memoryCapacityTokens total memory in tokens
 * @param startedAt identifier of the engine's current run, which changes at a restart; null if not reported
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record LoadReport(
        @JsonProperty("running") int running,
        @JsonProperty("waiting") int waiting,
        @JsonProperty("memory_used_tokens") long memoryUsedTokens,
        @JsonProperty("memory_capacity_tokens") long memoryCapacityTokens,
        @JsonProperty("started_at") @Nullable String startedAt) {}
