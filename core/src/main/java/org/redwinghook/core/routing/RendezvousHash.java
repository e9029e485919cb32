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
     * Position of a node for a key, evenly distributed over the nodes.
     *
     * @param key hash of the key
     * @param node name of the node
     * @return from 0 inclusive to 1 exclusive
     */
    public static double position(long key, String node) {
        return (score(key, node) >>> 11) * 0x1.0p-53;
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
