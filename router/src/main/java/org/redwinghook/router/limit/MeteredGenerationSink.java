package org.redwinghook.router.limit;

import java.util.List;

import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.router.generation.GenerationSink;

/** Counts the quota and usage of a generation that is delivered to a caller. */
record MeteredGenerationSink(GenerationSink sink, GenerationMeter meter) implements GenerationSink {

    @Override
    public void onTokens(String generation, long firstSequence, List<String> texts) {
        meter.recordDelivered(texts.size());
        sink.onTokens(generation, firstSequence, texts);
    }

    @Override
    public void onFinished(String generation, FinishReason reason, TokenUsage usage) {
        meter.recordFinished();
        sink.onFinished(generation, reason, usage);
    }

    @Override
    public void onInterrupted(String detail, long delivered) {
        meter.recordInterrupted();
        sink.onInterrupted(detail, delivered);
    }

    @Override
    public void onRefused(RefusalReason reason, String detail, long retryAfterMillis) {
        meter.refundReservation();
        sink.onRefused(reason, detail, retryAfterMillis);
    }

    @Override
    public void onUnknownOutcome(String detail) {
        meter.recordInterrupted();
        sink.onUnknownOutcome(detail);
    }

    @Override
    public void onCallerGone() {
        meter.recordInterrupted();
        sink.onCallerGone();
    }
}
