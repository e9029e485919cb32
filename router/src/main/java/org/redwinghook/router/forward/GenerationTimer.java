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

    /** Events of an attempt. */
    private static final class Output {

        private final boolean isWhole;
        private long events = 1;
        private int sampledEvents;
        private long sampledMillis;

        Output(boolean isWhole) {
            this.isWhole = isWhole;
        }

        void startSample() {
            sampledEvents = 0;
            sampledMillis = 0;
        }
    }

    GenerationTimer(GenerationDurations durations) {
        this.durations = durations;
    }

    @Override
    public void handleFirstEvent(CallerExchange caller, KnownEndpoint endpoint, long sinceStartMillis) {
        boolean isWhole = !caller.response().headWritten() && !caller.head().resumesStream();
        outputs.put(caller, new Output(isWhole));
        if (isWhole && caller.head().maximumOutputTokens() > 0) {
            durations.recordFirstEvent(caller.service(), caller.head().promptTokens(), sinceStartMillis);
        }
    }

    @Override
    public void handleNextEvent(CallerExchange caller, KnownEndpoint endpoint, long gapMillis) {
        Output output = outputs.get(caller);
        if (output == null) {
            return;
        }
        output.events++;
        if (caller.response().writeQueueFull()) {
            // The caller is slow, so the next events wait at the router.
            output.startSample();
            return;
        }
        output.sampledEvents++;
        output.sampledMillis += gapMillis;
        if (output.sampledMillis >= SAMPLE_MILLIS) {
            record(caller, output);
            output.startSample();
        }
    }

    @Override
    public void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {
        Output output = outputs.remove(caller);
        if (output == null || outcome != AttemptOutcome.SUCCEEDED) {
            return;
        }
        long longestTokens = caller.head().maximumOutputTokens();
        if (longestTokens > 0) {
            record(caller, output);
            if (output.isWhole) {
                durations.recordSize(caller.service(), output.events, longestTokens);
            }
        } else if (caller.route().kind() == RequestKind.STREAMING) {
            durations.recordUnsizedStream(caller.service(), sinceStartMillis);
        }
    }

    private void record(CallerExchange caller, Output output) {
        if (output.sampledEvents > 0) {
            durations.recordEvents(caller.service(), output.sampledEvents, output.sampledMillis);
        }
    }
}
