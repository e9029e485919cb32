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

    /** Wait for an engine that is assumed for a typical generation until the service has been measured, in milliseconds. */
    private static final double UNKNOWN_WAIT_MILLIS = 750;

    /** Time per output token at a busy engine of a route without an objective, as a multiple of the data sheet's. */
    private static final double BUSY_ENGINE_FACTOR = 2;

    /** Mean deviations above the mean that nearly no wait and no whole stream exceeds; single ones are far longer than most. */
    private static final double DEVIATIONS = 6;

    /** Mean deviations above the mean that the time per token of nearly no generation exceeds; it is a mean itself. */
    private static final double OUTPUT_DEVIATIONS = 4;

    /** Time from the start to the first event beyond that for the prefill of the prompt by the data sheet. */
    private final Map<String, DurationEstimate> waits = new HashMap<>();

    /** Time per output token after the first event. */
    private final Map<String, DurationEstimate> outputTokens = new HashMap<>();

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
        double millisPerToken = millis / EngineSpeed.tokens(events);
        outputTokens.compute(service, (name, before) -> DurationEstimate.add(before, millisPerToken));
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
     * Duration of a typical generation.
     *
     * @param service name of the service
     * @param route route of the request, for objectives
     * @param size prompt and expected output
     * @return the duration in milliseconds
     */
    public double typicalMillis(String service, Route route, PlacementQuery size) {
        if (size.expectedOutputTokens() <= 0) {
            DurationEstimate whole = unsizedStreams.get(service);
            return whole == null ? route.latencyObjectiveMillis() : whole.mean();
        }
        DurationEstimate wait = waits.get(service);
        return EngineSpeed.prefillMillis(size.promptTokens())
                + (wait == null ? UNKNOWN_WAIT_MILLIS : wait.mean())
                + typicalOutputMillis(service, size.expectedOutputTokens());
    }

    /**
     * Time that the output of a typical generation takes.
     *
     * @param service name of the service
     * @param tokens length of the output, in tokens
     * @return the time in milliseconds, by the data sheet until the service has been measured
     */
    public double typicalOutputMillis(String service, long tokens) {
        DurationEstimate token = outputTokens.get(service);
        return token == null ? EngineSpeed.outputMillis(tokens) : token.mean() * tokens;
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
        DurationEstimate token = outputTokens.get(service);
        return firstMillis
                + (token == null
                        ? longestUnknownOutputMillis(route, longestOutputTokens)
                        : token.upperBound(OUTPUT_DEVIATIONS) * longestOutputTokens);
    }

    private static double longestUnknownOutputMillis(Route route, long tokens) {
        return route.gapObjectiveMillis() > 0
                ? EngineSpeed.events(tokens) * route.gapObjectiveMillis()
                : EngineSpeed.outputMillis(tokens) * BUSY_ENGINE_FACTOR;
    }
}
