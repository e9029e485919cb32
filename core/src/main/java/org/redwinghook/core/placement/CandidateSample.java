package org.redwinghook.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Reduces the candidates to a random sample. Without it, many routers that see the same engine become the best choice
 * at the same time, as when a generation ends there or the engine joins, would each send it a prompt before the others'
 * prompts are reported.
 */
public final class CandidateSample {

    /**
     * Number of routers from which a sample is taken; fewer routers rarely choose within one reporting interval of each
     * other's work.
     */
    public static final int MINIMUM_ROUTERS = 8;

    /** Share of the candidates that a sample keeps on average. */
    private static final double SAMPLED_SHARE = 0.5;

    /** Number of candidates up to which all are kept. */
    private static final int MAXIMUM_UNSAMPLED_CANDIDATES = 6;

    private CandidateSample() {}

    /**
     * Takes a sample.
     *
     * @param candidates the candidates
     * @param routers number of routers
     * @param random supplies random numbers from 0 (inclusive) to 1 (exclusive)
     * @param <T> type of the candidates
     * @return the candidates to choose from
     */
    public static <T> List<T> of(List<T> candidates, int routers, DoubleSupplier random) {
        if (routers < MINIMUM_ROUTERS || candidates.size() <= MAXIMUM_UNSAMPLED_CANDIDATES) {
            return candidates;
        }
        List<T> kept = new ArrayList<>();
        for (T candidate : candidates) {
            if (random.getAsDouble() < SAMPLED_SHARE) {
                kept.add(candidate);
            }
        }
        return kept.isEmpty() ? candidates : kept;
    }
}
