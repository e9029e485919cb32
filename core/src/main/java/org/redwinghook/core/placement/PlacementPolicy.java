package org.redwinghook.core.placement;

import java.util.List;
import java.util.Optional;

/** Chooses the endpoint with the least expected delay. */
public enum PlacementPolicy {
    /**
     * Generations at engines. Answers bursts of long prompts and outputs of unknown length: the delay grows with the
     * prompts that are read first, with the generations that share each step, and steeply with memory that would run
     * out, since an engine then preempts a running generation.
     */
    GENERATION {
        @Override
        double delayMillis(Candidate candidate, PlacementQuery query) {
            WorkTotals work = candidate.work();
            double prefill = (work.waitingTokens() + query.promptTokens()) / PREFILL_TOKENS_PER_MILLI;
            double steps = work.running() * DELAY_PER_GENERATION_MILLIS;
            double needed = work.residentTokens() + query.promptTokens() + query.expectedOutputTokens();
            double free = candidate.memoryTokens() * USABLE_MEMORY_SHARE;
            double overflow = candidate.memoryTokens() == 0 ? 0 : Math.max(0, needed - free);
            double far = candidate.distance() == Distance.FAR ? CROSS_REGION_GENERATION_MILLIS : 0;
            return prefill + steps + far + overflow * OVERFLOW_MILLIS_PER_TOKEN;
        }
    },
    /**
     * Generations that move with their memory. Answers departures under load: no prompt is read again, so only memory
     * and the shared steps count, and a copy to another data centre takes twice as long. The link between regions is
     * far too slow for copies.
     */
    MOVED_RUN {
        @Override
        double delayMillis(Candidate candidate, PlacementQuery query) {
            double prefill = query.promptTokens() / PREFILL_TOKENS_PER_MILLI;
            double copy = candidate.distance() == Distance.LOCAL ? 0 : CROSS_DATA_CENTRE_COPY_MILLIS;
            if (candidate.distance() == Distance.FAR) {
                return Double.POSITIVE_INFINITY;
            }
            return GENERATION.delayMillis(candidate, query) - prefill + copy;
        }
    },
    /** Calls of plain services. Answers a burst at few slots: the delay is the wait for a slot. */
    CALL {
        @Override
        double delayMillis(Candidate candidate, PlacementQuery query) {
            double load = (double) candidate.work().running() / Math.max(1, candidate.slots());
            return load * TYPICAL_CALL_MILLIS * (load >= 1 ? FULL_ENDPOINT_FACTOR : 1);
        }
    };

    /**
     * Prompt tokens that an engine reads in a millisecond beside running generations: half of the data sheet's 14, as
     * prompts are read in parts, and each part waits for a step of about its own length.
     */
    private static final double PREFILL_TOKENS_PER_MILLI = 7;

    /** Delay that one more running generation adds to a first token through slower steps, in milliseconds. */
    private static final double DELAY_PER_GENERATION_MILLIS = 12;

    /** Share of an engine's memory to plan for; the rest absorbs outputs that are longer than expected. */
    private static final double USABLE_MEMORY_SHARE = 0.92;

    /**
     * Delay for each token beyond the usable memory: the preempted prompt is read again, and its stream stalls. Less than
     * one, as some runs end before the others need their whole memory.
     */
    private static final double OVERFLOW_MILLIS_PER_TOKEN = 0.7;

    /** Usual time of a plain call, in milliseconds; from the services' data sheet. */
    private static final double TYPICAL_CALL_MILLIS = 60;

    /** A full endpoint may refuse, which costs another attempt. */
    private static final double FULL_ENDPOINT_FACTOR = 3;

    /** Delay of an attempt that fails and must be repeated, in milliseconds. */
    private static final double FAILED_ATTEMPT_MILLIS = 2_000;

    /** Delay for each request that waits at the endpoint, in milliseconds. */
    private static final double DELAY_PER_WAITING_REQUEST_MILLIS = 60;

    /** Delay of a cold endpoint, in milliseconds. */
    private static final double COLD_DELAY_MILLIS = 200;

    /**
     * Additional cost of a copy to another data centre, in milliseconds: it takes the link of the engine that leaves for
     * the time of one more copy, and about two other runs wait for that time.
     */
    private static final double CROSS_DATA_CENTRE_COPY_MILLIS = 600;

    /**
     * Additional cost of a generation in another region, in milliseconds: a sixth of the usual objective for a first
     * token. All of its events cross the slow link between regions, and each call of a later move takes two trips.
     */
    private static final double CROSS_REGION_GENERATION_MILLIS = 300;

    abstract double delayMillis(Candidate candidate, PlacementQuery query);

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
