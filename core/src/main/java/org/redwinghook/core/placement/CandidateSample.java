package org.redwinghook.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Leaves candidates out at random. Answers many routers that see the same engine become the best one at once, as when a
 * run ends there or it joins: each of them would send it a prompt before it hears of the others' prompts.
 */
public final class CandidateSample {

    /** Routers from which a sample is taken; fewer ones rarely choose within one report of each other's work. */
    public static final int MINIMUM_ROUTERS = 8;

    /** Part of the candidates that a sample keeps. */
    private static final double SAMPLED_SHARE = 0.5;

    /** Candidates of which none is left out. */
    private static final int MAXIMUM_UNSAMPLED_CANDIDATES = 6;

    private CandidateSample() {}

    /**
     * Takes a sample.
     *
     * @param candidates the candidates
     * @param routers number of routers
     * @param random gives random numbers from 0 to below 1
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
