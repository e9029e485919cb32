package org.redwinghook.core.placement;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint with the lowest expected delay. */
public enum PlacementPolicy {
    /**
     * Generations at engines, with bursts of long prompts and outputs of unknown length: the delay grows with the
     * prompts that are prefilled first, with the generations that share each decoding step, and steeply once memory
     * would overflow, since an engine then preempts a running generation.
     */
    GENERATION {
        @Override
        double delayMillis(Candidate candidate, PlacementQuery query) {
            double far = candidate.distance() == Distance.FAR ? CROSS_REGION_GENERATION_MILLIS : 0;
            return firstTokenMillis(candidate, query)
                    + far
                    + overflowTokens(candidate, query) * OVERFLOW_MILLIS_PER_TOKEN;
        }

        @Override
        public DelayEstimate estimate(Candidate candidate, PlacementQuery query) {
            double first =
                    firstTokenMillis(candidate, query) + candidate.distance().latencyMillis();
            double output = EngineSpeed.outputMillis(query.expectedOutputTokens()) * candidate.slowdown();
            return new DelayEstimate(first, first + output, overflowTokens(candidate, query));
        }

        @Override
        boolean isFull(Candidate candidate, PlacementQuery query) {
            return overflowTokens(candidate, query) > 0;
        }

        private static double firstTokenMillis(Candidate candidate, PlacementQuery query) {
            WorkTotals work = candidate.work();
            double prefill = EngineSpeed.prefillMillis(work.waitingTokens() + query.promptTokens());
            return (prefill + work.running() * DELAY_PER_GENERATION_MILLIS) * candidate.slowdown();
        }

        private static double overflowTokens(Candidate candidate, PlacementQuery query) {
            if (candidate.memoryTokens() == 0) {
                return 0;
            }
            double needed = candidate.work().residentTokens() + query.promptTokens() + query.expectedOutputTokens();
            return Math.max(0, needed - candidate.memoryTokens() * USABLE_MEMORY_SHARE);
        }
    },
    /**
     * Generations that move with their memory from an engine that leaves under load: no prompt is prefilled again, so
     * only memory and the shared decoding steps count, and a copy to another data centre takes twice as long. The link
     * between regions is far too slow for copies.
     */
    MOVED_RUN {
        /** The few engines to which a copy is fast are always considered; routers take turns. */
        @Override
        public boolean samplesCandidates() {
            return false;
        }

        @Override
        double delayMillis(Candidate candidate, PlacementQuery query) {
            double prefill = EngineSpeed.prefillMillis(query.promptTokens()) * candidate.slowdown();
            double copy = candidate.distance() == Distance.LOCAL ? 0 : CROSS_DATA_CENTRE_COPY_MILLIS;
            if (candidate.distance() == Distance.FAR) {
                return Double.POSITIVE_INFINITY;
            }
            double lateness = EngineSpeed.outputMillis(query.expectedOutputTokens()) * (candidate.slowdown() - 1);
            return GENERATION.delayMillis(candidate, query) - prefill + copy + lateness * LATE_END_SHARE;
        }

        @Override
        public DelayEstimate estimate(Candidate candidate, PlacementQuery query) {
            return GENERATION.estimate(candidate, query);
        }

        @Override
        boolean isFull(Candidate candidate, PlacementQuery query) {
            return GENERATION.isFull(candidate, query);
        }
    },
    /**
     * Calls of plain services, which have few slots and refuse requests when full: the fastest endpoint with a free slot
     * is chosen. Among endpoints of the same speed it is the one with the lowest load, since other routers may have sent
     * requests that are not reported yet.
     */
    CALL {
        @Override
        double delayMillis(Candidate candidate, PlacementQuery query) {
            double load = load(candidate);
            if (load >= 1) {
                return load * FULL_ENDPOINT_MILLIS * Math.max(1, candidate.slowdown());
            }
            double lateness = (candidate.slowdown() - 1) * TYPICAL_CALL_MILLIS * SPEED_FACTOR;
            return load * TYPICAL_CALL_MILLIS + Math.min(lateness, MAXIMUM_LATENESS_MILLIS);
        }

        /** A call that finds a free slot takes as long as at an idle endpoint. */
        @Override
        public DelayEstimate estimate(Candidate candidate, PlacementQuery query) {
            double load = load(candidate);
            double rounds = load < 1 ? 1 : 1 + load;
            double millis = rounds * TYPICAL_CALL_MILLIS * candidate.slowdown()
                    + candidate.distance().latencyMillis();
            return new DelayEstimate(millis, millis, 0);
        }

        @Override
        boolean isFull(Candidate candidate, PlacementQuery query) {
            return load(candidate) >= 1;
        }

        private static double load(Candidate candidate) {
            return (double) candidate.work().running() / Math.max(1, candidate.slots());
        }
    };

    /** Delay that each running generation adds to a first token through slower decoding steps, in milliseconds. */
    private static final double DELAY_PER_GENERATION_MILLIS = 12;

    /** Share of an engine's memory to plan for; the rest absorbs outputs that are longer than expected. */
    private static final double USABLE_MEMORY_SHARE = 0.92;

    /**
     * Delay for each token beyond the usable memory, in milliseconds: the preempted prompt is prefilled again, and its
     * stream stalls. Less than one, since some generations end before the others need all of their memory.
     */
    private static final double OVERFLOW_MILLIS_PER_TOKEN = 0.7;

    /** Typical time of a call of a plain service, in milliseconds, according to the services' data sheet. */
    private static final double TYPICAL_CALL_MILLIS = 60;

    /** Delay of a full endpoint, in milliseconds: it may refuse the request and cost another attempt. */
    private static final double FULL_ENDPOINT_MILLIS = 180;

    /** Importance of the time of a call beside the load of endpoints with free slots. */
    private static final double SPEED_FACTOR = 2;

    /** Largest cost of a slow endpoint, in milliseconds, so that its free slot precedes a full endpoint. */
    private static final double MAXIMUM_LATENESS_MILLIS = 120;

    /**
     * Cost of a moved run that ends later, as a share of that time: it holds its memory longer, which counts less than the
     * pause of its stream.
     */
    private static final double LATE_END_SHARE = 0.1;

    /** Delay of an attempt that fails and must be repeated, in milliseconds. */
    private static final double FAILED_ATTEMPT_MILLIS = 2_000;

    /** Delay for each request that waits at the endpoint, in milliseconds. */
    private static final double DELAY_PER_WAITING_REQUEST_MILLIS = 60;

    /** Delay of a cold endpoint, in milliseconds. */
    private static final double COLD_DELAY_MILLIS = 200;

    /**
     * Additional cost of a copy to another data centre, in milliseconds: it occupies the link of the leaving engine for
     * the time of one more copy, and about two other generations wait for that time.
     */
    private static final double CROSS_DATA_CENTRE_COPY_MILLIS = 600;

    /**
     * Additional cost of a generation in another region, in milliseconds: a sixth of the usual first-token objective.
     * All of its events cross the slow link between regions, and each call of a later move takes two trips between
     * regions.
     */
    private static final double CROSS_REGION_GENERATION_MILLIS = 300;

    /**
     * Whether each of many routers chooses among a random part of the endpoints, so that they do not all choose the same
     * one.
     *
     * @return false if the routers choose one after the other
     */
    public boolean samplesCandidates() {
        return true;
    }

    abstract double delayMillis(Candidate candidate, PlacementQuery query);

    /** Whether a request would wait at the endpoint for a reason that the estimate does not contain. */
    abstract boolean isFull(Candidate candidate, PlacementQuery query);

    /**
     * Expected course of a request at an endpoint, on which waiting and placement agree.
     *
     * @param candidate the endpoint
     * @param query the request
     * @return the estimate, without preferences such as those for near endpoints
     */
    public abstract DelayEstimate estimate(Candidate candidate, PlacementQuery query);

    /**
     * Chooses an endpoint.
     *
     * @param candidates endpoints that may take the request
     * @param query the request
     * @return the endpoint, empty if there are no candidates
     */
    public Optional<Candidate> choose(List<Candidate> candidates, PlacementQuery query) {
        Candidate best = null;
        double lowestCost = Double.POSITIVE_INFINITY;
        for (Candidate candidate : candidates) {
            double cost = costMillis(candidate, query);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = candidate;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Expected delay of a request at an endpoint, in milliseconds.
     *
     * @param candidate the endpoint
     * @param query the request
     * @return the delay
     */
    public double costMillis(Candidate candidate, PlacementQuery query) {
        return delayMillis(candidate, query)
                + candidate.distance().latencyMillis()
                + candidate.failureShare() * FAILED_ATTEMPT_MILLIS
                + candidate.reportedWaitingRequests() * DELAY_PER_WAITING_REQUEST_MILLIS
                + (candidate.cold() ? COLD_DELAY_MILLIS : 0)
                + candidate.jitterMillis();
    }
}
