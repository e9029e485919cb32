package org.redwinghook.standins.engine;

/**
 * Memory sizes of an engine.
 *
 * @param capacityTokens capacity for the prompts and outputs of the generations in the batch
 * @param prefixCacheTokens capacity of the prefix cache, which is separate from {@code capacityTokens}
 */
public record EngineMemory(int capacityTokens, int prefixCacheTokens) {

    /** Default sizes: memory for several hundred outputs. */
    public static final EngineMemory DEFAULT = new EngineMemory(65_536, 16_384);
}
