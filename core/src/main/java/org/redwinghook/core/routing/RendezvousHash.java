package org.redwinghook.core.routing;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/** Highest-random-weight hashing: each key ranks all nodes, and the loss of a node remaps only its own keys. */
public final class RendezvousHash {

    private RendezvousHash() {}

    /**
     * Score of a node for a key; the node with the highest score is preferred.
     *
     * @param key hash of the key
     * @param node name of the node
     * @return the score
     */
    public static long score(long key, String node) {
        return Hashing.murmur3_128()
                .newHasher()
                .putLong(key)
                .putString(node, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /**
     * Hash of a text, for use as a key.
     *
     * @param text the text
     * @return the hash
     */
    public static long hash(String text) {
        return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
    }
}
