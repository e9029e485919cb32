package org.redwinghook.core.forward;

import java.util.HashMap;
import java.util.Map;

import org.redwinghook.core.placement.EngineSpeed;
import org.redwinghook.core.placement.PlacementQuery;

/**
 * Learns how long the generations of each service take. Load: a stop under load, while engines are several times slower or
 * faster than their data sheet. Durations are milliseconds from the start of the attempt at the engine. Until a service
 * has been measured, its route's objectives count: a generation that takes no longer is on time.
 */
public final class GenerationDurations {

    /** Least time that is reserved for the wait of a typical generation at an engine, in milliseconds. */
    private static final double WAIT_RESERVE_MILLIS = 750;

    /** Time per output token at a busy engine of a route without an objective, as a multiple of the data sheet's. */
    private static final double BUSY_ENGINE_FACTOR = 2;

    /** Mean deviations above the mean that nearly no wait and no whole stream exceeds; single ones are far longer than most. */
    private static final double DEVIATIONS = 6;

    /** Mean deviations above the mean that the mean gap of nearly no generation exceeds. */
    private static final double GAP_DEVIATIONS = 4;

    /** Time from the start to the first event beyond that for the prefill of the prompt by the data sheet. */
    private final Map<String, DurationEstimate> waits = new HashMap<>();

    /** Time between two events. */
    private final Map<String, DurationEstimate> gaps = new HashMap<>();

    /** Largest number of events for a token of the longest output that callers named. */
    private final Map<String, Double> eventsPerToken = new HashMap<>();

    /** Time of whole streams whose callers named no size. */
    private final Map<String, DurationEstimate> unsizedStreams = new HashMap<>();

    /**
     * Records the first event of a generation.
     *
     * @param service name of the service
     * @param promptTokens length of the prompt, in tokens
     * @param millis time since the start
     */
    public void recordFirstEvent(String service, long promptTokens, long millis) {
        double waitMillis = millis - EngineSpeed.prefillMillis(promptTokens);
        waits.compute(service, (name, before) -> DurationEstimate.add(before, waitMillis));
    }

    /**
     * Records a part of a generation's output.
     *
     * @param service name of the service
     * @param events number of events after the first one
     * @param millis time in which they arrived
     */
    public void recordEvents(String service, int events, long millis) {
        gaps.compute(service, (name, before) -> DurationEstimate.add(before, (double) millis / events));
    }

    /**
     * Records how many events a generation had, since engines differ in the tokens of an event.
     *
     * @param service name of the service
     * @param events number of events
     * @param longestOutputTokens longest output, in tokens
     */
    public void recordSize(String service, long events, long longestOutputTokens) {
        double perToken = Math.min(1, (double) events / longestOutputTokens);
        eventsPerToken.merge(service, perToken, Math::max);
    }

    /**
     * Records the end of a stream whose caller named no size.
     *
     * @param service name of the service
     * @param millis time since the start
     */
    public void recordUnsizedStream(String service, long millis) {
        unsizedStreams.compute(service, (name, before) -> DurationEstimate.add(before, millis));
    }

    /**
     * Duration of a typical generation, with a reserve for its wait.
     *
     * @param service name of the service
     * @param size prompt and expected output
     * @return the duration in milliseconds, at least that by the data sheet
     */
    public double typicalMillis(String service, PlacementQuery size) {
        if (size.expectedOutputTokens() <= 0) {
            DurationEstimate whole = unsizedStreams.get(service);
            return whole == null ? WAIT_RESERVE_MILLIS : Math.max(WAIT_RESERVE_MILLIS, whole.mean());
        }
        DurationEstimate wait = waits.get(service);
        double outputMillis = Math.max(
                EngineSpeed.outputMillis(size.expectedOutputTokens()),
                typicalOutputMillis(service, size.expectedOutputTokens()));
        return EngineSpeed.prefillMillis(size.promptTokens())
                + (wait == null ? WAIT_RESERVE_MILLIS : Math.max(WAIT_RESERVE_MILLIS, wait.mean()))
                + outputMillis;
    }

    /**
     * Time that the output of a typical generation takes.
     *
     * @param service name of the service
     * @param tokens length of the output, in tokens
     * @return the time in milliseconds, by the data sheet until the service has been measured
     */
    public double typicalOutputMillis(String service, long tokens) {
        DurationEstimate gap = gaps.get(service);
        return gap == null ? EngineSpeed.outputMillis(tokens) : gap.mean() * EngineSpeed.events(tokens);
    }

    /**
     * Duration that nearly no generation exceeds.
     *
     * @param service name of the service
     * @param route route of the request, for objectives
     * @param promptTokens length of the prompt, in tokens
     * @param longestOutputTokens longest output, in tokens; 0 if the caller named none
     * @return the duration in milliseconds, infinite if nothing bounds it
     */
    public double longestMillis(String service, Route route, long promptTokens, long longestOutputTokens) {
        if (longestOutputTokens <= 0) {
            DurationEstimate whole = unsizedStreams.get(service);
            return whole == null ? Double.POSITIVE_INFINITY : whole.upperBound(DEVIATIONS);
        }
        double prefillMillis = EngineSpeed.prefillMillis(promptTokens);
        DurationEstimate wait = waits.get(service);
        double firstMillis = wait == null
                ? Math.max(route.latencyObjectiveMillis(), prefillMillis)
                : prefillMillis + wait.upperBound(DEVIATIONS);
        return firstMillis + longestOutputMillis(service, route, longestOutputTokens);
    }

    private double longestOutputMillis(String service, Route route, long tokens) {
        DurationEstimate gap = gaps.get(service);
        if (gap == null) {
            return longestUnknownOutputMillis(route, tokens);
        }
        double millisPerEvent = gap.upperBound(GAP_DEVIATIONS);
        Double measuredEvents = eventsPerToken.get(service);
        if (measuredEvents == null) {
            return Math.max(longestUnknownOutputMillis(route, tokens), millisPerEvent * EngineSpeed.events(tokens));
        }
        return millisPerEvent * Math.max(EngineSpeed.events(tokens), measuredEvents * tokens);
    }

    private static double longestUnknownOutputMillis(Route route, long tokens) {
        return route.gapObjectiveMillis() > 0
                ? EngineSpeed.events(tokens) * route.gapObjectiveMillis()
                : EngineSpeed.outputMillis(tokens) * BUSY_ENGINE_FACTOR;
    }
}
