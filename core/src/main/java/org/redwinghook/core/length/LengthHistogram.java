package org.redwinghook.core.length;

/**
 * Histogram of output lengths with exponential decay. Buckets are exact below 8 tokens and a quarter of an octave wide
 * above, which bounds the relative error of a length at 25%.
 */
public final class LengthHistogram {

    /** Number of outputs after which an output's weight has decayed to 1/e. */
    private static final double DECAY_OUTPUTS = 500;

    private static final double WEIGHT_GROWTH = 1 + 1 / DECAY_OUTPUTS;

    /** Maximum weight of the newest output; above it, all weights are scaled down, so that no sum overflows. */
    private static final double MAXIMUM_INCREMENT = 1e6;

    private static final int EXACT_BUCKETS = 8;
    private static final int EXACT_BITS = 3;
    private static final int BUCKETS_PER_OCTAVE = 4;
    private static final int MAXIMUM_BITS = 17;
    private static final int BUCKET_COUNT = EXACT_BUCKETS + (MAXIMUM_BITS - EXACT_BITS) * BUCKETS_PER_OCTAVE;

    private final double[] weights = new double[BUCKET_COUNT];
    private final double[] weightsAbove = new double[BUCKET_COUNT];
    private boolean isWeightsAboveStale;
    private double totalWeight;
    private double increment = 1;

    /**
     * Adds an output.
     *
     * @param tokens its length
     */
    public void recordLength(int tokens) {
        weights[bucket(tokens)] += increment;
        totalWeight += increment;
        isWeightsAboveStale = true;
        increment *= WEIGHT_GROWTH;
        if (increment > MAXIMUM_INCREMENT) {
            scaleDown();
        }
    }

    /**
     * Effective number of outputs, with decay.
     *
     * @return the effective number, at most 500 in the long run
     */
    public double effectiveCount() {
        return totalWeight / increment;
    }

    /**
     * Share of outputs that are longer than a length.
     *
     * @param tokens the length
     * @return the share, 0 if there are no outputs
     */
    public double shareAbove(int tokens) {
        if (totalWeight == 0) {
            return 0;
        }
        int bucket = bucket(tokens);
        updateWeightsAbove();
        double width = (double) lowerBound(bucket + 1) - lowerBound(bucket);
        double insideShare = Math.max(0, (lowerBound(bucket + 1) - 1 - tokens) / width);
        return (weightsAbove[bucket] + weights[bucket] * insideShare) / totalWeight;
    }

    /**
     * Mean number of tokens of the outputs above a length, capped at another length.
     *
     * @param from the length above which tokens count
     * @param through the length at which outputs are capped
     * @return mean number of tokens above {@code from} over the outputs longer than it, 0 if there are none
     */
    public double meanAbove(int from, int through) {
        double share = shareAbove(from);
        if (share <= 0) {
            return 0;
        }
        double area = 0;
        int position = from;
        for (int bucket = bucket(from); bucket < BUCKET_COUNT && position < through; bucket++) {
            int end = Math.min(through, lowerBound(bucket + 1));
            area += (end - position) * (shareAbove(position) + shareAbove(end)) / 2;
            position = end;
        }
        return area / share;
    }

    /**
     * Length that a share of the outputs does not exceed.
     *
     * @param share share of the outputs, 0 to 1
     * @return upper bound of the bucket that holds the quantile, 0 if there are no outputs
     */
    public int quantile(double share) {
        double below = 0;
        int last = 0;
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            if (weights[bucket] == 0) {
                continue;
            }
            below += weights[bucket];
            last = lowerBound(bucket + 1) - 1;
            if (below >= share * totalWeight) {
                break;
            }
        }
        return last;
    }

    /** Updates the cached sums. They are cached because many shares are computed between two outputs. */
    private void updateWeightsAbove() {
        if (!isWeightsAboveStale) {
            return;
        }
        weightsAbove[BUCKET_COUNT - 1] = 0;
        for (int bucket = BUCKET_COUNT - 2; bucket >= 0; bucket--) {
            weightsAbove[bucket] = weightsAbove[bucket + 1] + weights[bucket + 1];
        }
        isWeightsAboveStale = false;
    }

    private void scaleDown() {
        for (int bucket = 0; bucket < BUCKET_COUNT; bucket++) {
            weights[bucket] /= increment;
        }
        totalWeight /= increment;
        increment = 1;
    }

    private static int bucket(int tokens) {
        if (tokens < EXACT_BUCKETS) {
            return Math.max(0, tokens);
        }
        int bits = Integer.SIZE - 1 - Integer.numberOfLeadingZeros(tokens);
        int quarter = (tokens >> (bits - 2)) - BUCKETS_PER_OCTAVE;
        return Math.min(BUCKET_COUNT - 1, EXACT_BUCKETS + (bits - EXACT_BITS) * BUCKETS_PER_OCTAVE + quarter);
    }

    private static int lowerBound(int bucket) {
        if (bucket < EXACT_BUCKETS) {
            return bucket;
        }
        int octave = (bucket - EXACT_BUCKETS) / BUCKETS_PER_OCTAVE;
        int quarter = (bucket - EXACT_BUCKETS) % BUCKETS_PER_OCTAVE;
        return (BUCKETS_PER_OCTAVE + quarter) << (octave + 1);
    }
}
