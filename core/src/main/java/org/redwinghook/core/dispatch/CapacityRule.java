package org.redwinghook.core.dispatch;

import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.DelayEstimate;
import org.redwinghook.core.placement.Distance;
import org.redwinghook.core.placement.EngineSpeed;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.WorkTotals;

/** When an endpoint has capacity for a request. Load: bursts of more than the endpoints can run at once. */
public enum CapacityRule {
    /**
     * Generations: the memory that all runs need at their end has to suffice, since an engine otherwise preempts a run,
     * and only few prompts may wait for prefill, since a more urgent one would wait behind them.
     */
    GENERATION(PlacementPolicy.GENERATION, 24_000) {
        @Override
        public double waitMillis(Candidate candidate, DispatchRequest request, ExpectedDemand urgent, long nowMillis) {
            double slotMillis = slotMillis(candidate, request.idleEstimate().completionMillis());
            double memoryMillis =
                    memoryMillis(candidate, request, reservedTokens(candidate, request, urgent, nowMillis));
            return Math.max(Math.max(slotMillis, memoryMillis), prefillMillis(candidate, request, urgent, nowMillis));
        }

        @Override
        boolean mayBeSentOverdue(Candidate candidate, DispatchRequest request) {
            return overflowTokens(candidate, request.query()) <= candidate.memoryTokens() * SMALL_OVERFLOW_SHARE;
        }

        @Override
        boolean isOverdue(DispatchRequest request, long nowMillis) {
            return nowMillis - request.objectiveAtMillis() >= idleMillis(request);
        }

        @Override
        long idleMillis(DispatchRequest request) {
            return Math.max(LEAST_TOLERANCE_MILLIS, Math.min(MOST_TOLERANCE_MILLIS, objectiveMillis(request) / 2));
        }

        /** Time until the runs that end have released the missing memory; a run holds its memory until its end. */
        private double memoryMillis(Candidate candidate, DispatchRequest request, long reservedTokens) {
            PlacementQuery query = request.query();
            PlacementQuery withReserve =
                    new PlacementQuery(query.promptTokens(), query.expectedOutputTokens() + reservedTokens);
            double missingTokens = overflowTokens(candidate, withReserve) - releasedTokens(candidate.work());
            if (missingTokens <= 0) {
                return 0;
            }
            double usedTokens = Math.max(missingTokens, candidate.work().residentTokens());
            return request.idleEstimate().completionMillis() * missingTokens / usedTokens;
        }

        /** Memory to leave for more urgent requests: none once a request has waited for the larger part of its objective. */
        private long reservedTokens(
                Candidate candidate, DispatchRequest request, ExpectedDemand urgent, long nowMillis) {
            long slackMillis = request.objectiveAtMillis() - nowMillis;
            if (slackMillis >= 0 && slackMillis < objectiveMillis(request) * RESERVING_SLACK_SHARE) {
                return 0;
            }
            return Math.min(urgent.tokens(), (long) (candidate.memoryTokens() * MAXIMUM_RESERVED_SHARE));
        }

        /** Tokens that some runs release by their end before the others have grown to their full size. */
        private double releasedTokens(WorkTotals work) {
            long growthTokens = work.residentTokens() - work.heldTokens() - work.waitingTokens();
            return Math.max(0, growthTokens) * RELEASED_GROWTH_SHARE;
        }

        /** Tokens that are missing because of other runs; a request that fits nowhere fits at an idle engine. */
        private double overflowTokens(Candidate candidate, PlacementQuery query) {
            return policy().estimate(candidate, query).overflowTokens()
                    - policy().estimate(withWork(candidate, WorkTotals.NONE), query)
                            .overflowTokens();
        }

        private double prefillMillis(
                Candidate candidate, DispatchRequest request, ExpectedDemand urgent, long nowMillis) {
            WorkTotals work = candidate.work();
            if (work.waitingTokens() <= 0) {
                return 0;
            }
            PlacementQuery query = request.query();
            WorkTotals later = work.plus(new WorkTotals(1, query.promptTokens(), request.work(), 0));
            double urgentMillis = policy().estimate(withWork(candidate, later), urgent.typical())
                    .firstResultMillis();
            double aheadMillis = EngineSpeed.prefillMillis(work.waitingTokens()) * candidate.slowdown();
            double slackMillis = request.objectiveAtMillis() - nowMillis;
            double firstMillis = policy().estimate(candidate, query).firstResultMillis();
            double marginMillis = slackMillis - firstMillis + aheadMillis;
            boolean isLastChance = firstMillis <= slackMillis && marginMillis <= aheadMillis * LAST_CHANCE_FACTOR;
            return Math.max(
                    Math.max(0, urgentMillis - urgent.objectiveMillis()),
                    isLastChance ? 0 : Math.max(0, aheadMillis - SHORT_PREFILL_MILLIS));
        }
    },
    /** Calls of plain services, which refuse requests when all of their slots are taken. */
    CALL(PlacementPolicy.CALL, 24) {
        @Override
        public double waitMillis(Candidate candidate, DispatchRequest request, ExpectedDemand urgent, long nowMillis) {
            return slotMillis(candidate, request.idleEstimate().completionMillis());
        }

        @Override
        boolean mayBeSentOverdue(Candidate candidate, DispatchRequest request) {
            return true;
        }

        @Override
        boolean isOverdue(DispatchRequest request, long nowMillis) {
            return nowMillis - request.arrivedAtMillis() >= objectiveMillis(request) / CALL_WAIT_DIVISOR;
        }

        @Override
        long idleMillis(DispatchRequest request) {
            return 0;
        }
    };

    /** Share of an engine's memory that is kept free for more urgent requests at most. */
    private static final double MAXIMUM_RESERVED_SHARE = 0.5;

    /** Share of an engine's memory by which a request may exceed the estimate if no request could be sent for long. */
    private static final double SMALL_OVERFLOW_SHARE = 0.05;

    /** Share of the objective that has to be left for a request to leave memory for more urgent ones. */
    private static final double RESERVING_SLACK_SHARE = 0.5;

    /** Share of the growth of running generations that is never held at once, since they end at different times. */
    private static final double RELEASED_GROWTH_SHARE = 0.5;

    /** Prefill that may be queued at an engine in any case, in milliseconds: a prompt, so that the engine never idles. */
    private static final double SHORT_PREFILL_MILLIS = 500;

    /** A request joins a longer queue for prefill once that takes the part 1/n of the time that it may still wait. */
    private static final double LAST_CHANCE_FACTOR = 2;

    /** Shortest time beyond its objective after which a generation is sent although no capacity is known. */
    private static final long LEAST_TOLERANCE_MILLIS = 250;

    /** Longest time beyond its objective after which a generation is sent although no capacity is known. */
    private static final long MOST_TOLERANCE_MILLIS = 2_000;

    /** A call waits for a slot for the part 1/n of its objective: reports of other routers may be outdated. */
    private static final long CALL_WAIT_DIVISOR = 4;

    private final PlacementPolicy policy;
    private final long roundWork;

    CapacityRule(PlacementPolicy policy, long roundWork) {
        this.policy = policy;
        this.roundWork = roundWork;
    }

    /**
     * Placement policy of the requests.
     *
     * @return the policy
     */
    public PlacementPolicy policy() {
        return policy;
    }

    /**
     * Expected time until an endpoint has capacity for a request.
     *
     * @param candidate the endpoint
     * @param request the request
     * @param urgent more urgent generations for which the request leaves memory
     * @param nowMillis current time
     * @return the time in milliseconds, 0 if the endpoint can take the request now
     */
    public abstract double waitMillis(
            Candidate candidate, DispatchRequest request, ExpectedDemand urgent, long nowMillis);

    /** Whether an overdue request may be sent to an endpoint that has no capacity according to the estimates. */
    abstract boolean mayBeSentOverdue(Candidate candidate, DispatchRequest request);

    /** Whether a request has waited for so long that the estimates are in doubt; they may rest on outdated reports. */
    abstract boolean isOverdue(DispatchRequest request, long nowMillis);

    /** Time for which no endpoint may have received a request before an overdue one is sent, in milliseconds. */
    abstract long idleMillis(DispatchRequest request);

    /** Work of a customer in one round of fair scheduling: about what one endpoint takes at once. */
    long roundWork() {
        return roundWork;
    }

    DelayEstimate idleEstimate(PlacementQuery query) {
        return policy.estimate(
                new Candidate("", 0, 0, WorkTotals.NONE, 0, Distance.LOCAL, 0, Candidate.USUAL_SLOWDOWN, false, 0),
                query);
    }

    private static long objectiveMillis(DispatchRequest request) {
        return request.objectiveAtMillis() - request.arrivedAtMillis();
    }

    private static double slotMillis(Candidate candidate, double completionMillis) {
        int excess = candidate.work().running() - candidate.slots() + 1;
        return candidate.slots() <= 0 || excess <= 0 ? 0 : completionMillis * excess / candidate.slots();
    }

    private static Candidate withWork(Candidate candidate, WorkTotals work) {
        return new Candidate(
                candidate.id(),
                candidate.slots(),
                candidate.memoryTokens(),
                work,
                candidate.reportedWaitingRequests(),
                candidate.distance(),
                candidate.failureShare(),
                candidate.slowdown(),
                candidate.cold(),
                candidate.jitterMillis());
    }
}
