package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.Map;

import org.redwinghook.core.forward.GenerationDurations;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.forward.RequestKind;

/** Measures how long generations take, also those that are still running. Confined to one event loop. */
final class GenerationTimer implements AttemptObserver {

    /** Time over which the output of a generation is measured, in milliseconds; several events may arrive at once. */
    private static final long SAMPLE_MILLIS = 1_000;

    private final GenerationDurations durations;
    private final Map<CallerExchange, Output> outputs = new HashMap<>();

    /** Events of an attempt since the last sample. */
    private static final class Output {

        private int events;
        private long millis;
    }

    GenerationTimer(GenerationDurations durations) {
        this.durations = durations;
    }

    @Override
    public void handleFirstEvent(CallerExchange caller, KnownEndpoint endpoint, long sinceStartMillis) {
        outputs.put(caller, new Output());
        boolean isContinuation = caller.response().headWritten();
        if (!isContinuation && caller.head().maximumOutputTokens() > 0) {
            durations.recordFirstEvent(caller.service(), caller.head().promptTokens(), sinceStartMillis);
        }
    }

    @Override
    public void handleNextEvent(CallerExchange caller, KnownEndpoint endpoint, long gapMillis) {
        Output output = outputs.get(caller);
        if (output == null) {
            return;
        }
        if (caller.response().writeQueueFull()) {
            // The caller is slow, so the next events wait at the router.
            outputs.put(caller, new Output());
            return;
        }
        output.events++;
        output.millis += gapMillis;
        if (output.millis >= SAMPLE_MILLIS) {
            record(caller, output);
            outputs.put(caller, new Output());
        }
    }

    @Override
    public void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {
        Output output = outputs.remove(caller);
        if (output == null || outcome != AttemptOutcome.SUCCEEDED) {
            return;
        }
        if (caller.head().maximumOutputTokens() > 0) {
            record(caller, output);
        } else if (caller.route().kind() == RequestKind.STREAMING) {
            durations.recordUnsizedStream(caller.service(), sinceStartMillis);
        }
    }

    private void record(CallerExchange caller, Output output) {
        if (output.events > 0) {
            durations.recordEvents(caller.service(), output.events, output.millis);
        }
    }
}
