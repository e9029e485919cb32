package org.redwinghook.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Load of an engine as GET /load reports it.
 *
 * @param running generations in the batch
 * @param waiting generations that wait for room, preempted ones included
 * @param memoryUsedTokens tokens in memory
 * @param memoryCapacityTokens tokens that fit
 * @param preemptions preemptions since the start
 * @param startedAt time of the start in milliseconds since 1970; identifies the start
 */
public record EngineLoad(
        @JsonProperty("running") int running,
        @JsonProperty("waiting") int waiting,
        @JsonProperty("memory_used_tokens") int memoryUsedTokens,
        @JsonProperty("memory_capacity_tokens") int memoryCapacityTokens,
        @JsonProperty("preemptions") long preemptions,
        @JsonProperty("started_at") long startedAt) {}
