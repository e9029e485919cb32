package org.redwinghook.standins.engine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.redwinghook.core.routing.RendezvousHash;

/**
 * Cache of prompt prefixes in blocks of 256 characters, which evicts the least recently used blocks. A block is
 * identified by the hash of the prompt up to its end, which for the first block is the hash that routers use for
 * affinity.
 */
final class PrefixCache {

    private static final int BLOCK_CHARACTERS = 256;
    private static final int BLOCK_TOKENS = 64;

    private final int maximumBlocks;
    private final BiConsumer<String, Long> listener;
    private final Map<Long, Boolean> blocks = new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an empty cache; the listener receives "stored" or "evicted" and the hash of the block. */
    PrefixCache(int capacityTokens, BiConsumer<String, Long> listener) {
        this.maximumBlocks = capacityTokens / BLOCK_TOKENS;
        this.listener = listener;
    }

    /** Stores the complete blocks of the prompt and returns the number of tokens in the prefix that was cached. */
    int lookUpAndStore(String prompt) {
        int cachedTokens = 0;
        boolean isPrefixCached = true;
        for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
            long blockHash = RendezvousHash.hash(prompt.substring(0, end));
            boolean isCached = blocks.get(blockHash) != null;
            isPrefixCached = isPrefixCached && isCached;
            cachedTokens += isPrefixCached ? BLOCK_TOKENS : 0;
            if (!isCached) {
                blocks.put(blockHash, true);
                listener.accept("stored", blockHash);
            }
        }
        evictExcessBlocks();
        return cachedTokens;
    }

    private void evictExcessBlocks() {
        Iterator<Long> leastRecentlyUsed = blocks.keySet().iterator();
        for (int excess = blocks.size() - maximumBlocks; excess > 0; excess--) {
            long blockHash = leastRecentlyUsed.next();
            leastRecentlyUsed.remove();
            listener.accept("evicted", blockHash);
        }
    }
}
