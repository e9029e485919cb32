package org.redwinghook.core.dispatch;

import java.util.Map;
import java.util.TreeMap;

import org.redwinghook.core.placement.PlacementQuery;

/**
 * Learns from recent arrivals which memory more urgent generations will need. Load: short generations that arrive
 * steadily at engines whose memory a burst of long, less urgent ones would fill. Times are milliseconds of a monotonic
 * clock.
 */
public final class UrgentDemand {

    /** Time constant of the averages, in milliseconds. */
    private static final double AVERAGING_MILLIS = 10_000;

    /** Decayed number of arrivals below which a priority is not expected: a single arrival counts for 30 s. */
    private static final double LEAST_ARRIVALS = 0.05;

    /** Maximum number of distinct priorities. */
    private static final int MAXIMUM_PRIORITIES = 16;

    private final TreeMap<Integer, Arrivals> arrivalsByPriority = new TreeMap<>();

    /**
     * Records the arrival of a generation.
     *
     * @param request the generation
     * @param nowMillis current time
     */
    public void record(DispatchRequest request, long nowMillis) {
        arrivalsByPriority
                .computeIfAbsent(request.priority(), priority -> new Arrivals())
                .add(request, nowMillis);
        if (arrivalsByPriority.size() > MAXIMUM_PRIORITIES) {
            arrivalsByPriority.pollLastEntry();
        }
    }

    /**
     * Expected generations that are more urgent than a request.
     *
     * @param priority priority of the request
     * @param engines number of engines that share the load
     * @param routers number of routers that receive as many requests as this one
     * @param nowMillis current time
     * @return the demand at one engine: the average, and at least one typical generation
     */
    public ExpectedDemand moreUrgentThan(int priority, int engines, int routers, long nowMillis) {
        ExpectedDemand expected = ExpectedDemand.NONE;
        double averageTokens = 0;
        for (Map.Entry<Integer, Arrivals> entry :
                arrivalsByPriority.headMap(priority).entrySet()) {
            Arrivals arrivals = entry.getValue();
            arrivals.decay(nowMillis);
            if (arrivals.number < LEAST_ARRIVALS) {
                continue;
            }
            averageTokens += arrivals.tokenMillis / AVERAGING_MILLIS * routers / Math.max(1, engines);
            PlacementQuery typical = arrivals.typical();
            long typicalTokens = typical.promptTokens() + typical.expectedOutputTokens();
            boolean isStricter = arrivals.objectiveMillis() < expected.objectiveMillis();
            expected = new ExpectedDemand(
                    isStricter ? typical : expected.typical(),
                    Math.min(expected.objectiveMillis(), arrivals.objectiveMillis()),
                    Math.max(expected.tokens(), typicalTokens));
        }
        return new ExpectedDemand(
                expected.typical(), expected.objectiveMillis(), Math.max(expected.tokens(), (long) averageTokens));
    }

    /** Decayed sums over the arrivals of one priority. */
    private static final class Arrivals {

        private double number;
        private double promptTokens;
        private double outputTokens;
        private double objectiveSumMillis;
        /** Sum of memory multiplied by the time for which it is held. */
        private double tokenMillis;

        private long updatedAtMillis;

        void add(DispatchRequest request, long nowMillis) {
            decay(nowMillis);
            number++;
            promptTokens += request.query().promptTokens();
            outputTokens += request.query().expectedOutputTokens();
            objectiveSumMillis += request.objectiveAtMillis() - request.arrivedAtMillis();
            tokenMillis += request.work() * request.idleEstimate().completionMillis();
        }

        void decay(long nowMillis) {
            double factor = Math.exp((updatedAtMillis - nowMillis) / AVERAGING_MILLIS);
            updatedAtMillis = nowMillis;
            number *= factor;
            promptTokens *= factor;
            outputTokens *= factor;
            objectiveSumMillis *= factor;
            tokenMillis *= factor;
        }

        PlacementQuery typical() {
            return new PlacementQuery((long) (promptTokens / number), (long) (outputTokens / number));
        }

        double objectiveMillis() {
            return objectiveSumMillis / number;
        }
    }
}
