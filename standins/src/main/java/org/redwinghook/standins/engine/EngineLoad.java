package org.redwinghook.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Load of an engine as GET /load reports it.
 *
 * @param running number of generations in the batch
 * @param waiting number of generations that wait for memory or a place in the batch, including preempted ones
 * @param memoryUsedTokens memory in use, in tokens
 * @param memoryCapacityTokens memory capacity, in tokens
 * @param preemptions number of preemptions since the start
 * @param startedAt start time in milliseconds since 1970, which identifies the engine's current run
 */
public record EngineLoad(
        @JsonProperty("running") int running,
        @JsonProperty("waiting") int waiting,
        @JsonProperty("memory_used_tokens") int memoryUsedTokens,
        @JsonProperty("memory_capacity_tokens") int memoryCapacityTokens,
        @JsonProperty("preemptions") long preemptions,
        @JsonProperty("started_at") long startedAt) {}
