package org.redwinghook.standins.engine;

/**
 * Memory of an engine.
 *
 * @param capacityTokens tokens of prompts and outputs that fit while they are in the batch
 * @param prefixCacheTokens tokens of prompt prefixes that fit in the cache, apart from the capacity
 */
public record EngineMemory(int capacityTokens, int prefixCacheTokens) {

    /** Room for some hundred outputs. */
    public static final EngineMemory DEFAULT = new EngineMemory(65_536, 16_384);
}
