package org.redwinghook.standins.engine;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import org.apache.commons.math3.distribution.LogNormalDistribution;

/** Length and words of an output; the same seed and prompt always produce the same output. */
final class OutputPlan {

    /** With this shape, one output in a thousand is about a hundred times as long as the median. */
    private static final double LOG_NORMAL_SHAPE = 1.5;

    private static final int MAXIMUM_TOKENS = 50_000;
    /** Number of distinct hash values without the unused bits. */
    private static final double HASH_RANGE = 0x1p53;

    private static final int UNUSED_HASH_BITS = 11;
    private static final String[] WORDS = {
        "buckwheat",
        "hull",
        "cushion",
        "cover",
        "linen",
        "seam",
        "wash",
        "dry",
        "air",
        "shade",
        "fill",
        "press",
        "notice",
        "errata",
        "page",
        "line",
        "reads",
        "should",
        "read",
        "printer"
    };

    private final HashFunction hashFunction;
    private final int medianTokens;
    private final String prompt;

    OutputPlan(long seed, int medianTokens, String prompt) {
        this.medianTokens = medianTokens;
        this.hashFunction = Hashing.murmur3_128(Long.hashCode(seed));
        this.prompt = prompt;
    }

    int naturalLength() {
        double uniform = (hashAt(0) >>> UNUSED_HASH_BITS) / HASH_RANGE;
        LogNormalDistribution lengths = new LogNormalDistribution(Math.log(medianTokens), LOG_NORMAL_SHAPE);
        return (int) Math.min(MAXIMUM_TOKENS, 1 + lengths.inverseCumulativeProbability(uniform));
    }

    String word(int index) {
        return WORDS[Math.floorMod(hashAt(index), WORDS.length)];
    }

    private long hashAt(int index) {
        return hashFunction
                .newHasher()
                .putInt(index)
                .putString(prompt, StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }
}
