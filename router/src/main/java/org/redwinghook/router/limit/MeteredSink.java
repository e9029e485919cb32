package org.redwinghook.router.limit;

import java.util.List;

import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.router.generation.GenerationSink;

/** Counts what passes to a caller. */
record MeteredSink(GenerationSink sink, GenerationMeter meter) implements GenerationSink {

    @Override
    public void tokens(String generation, long firstSequence, List<String> texts) {
        meter.delivered(texts.size());
        sink.tokens(generation, firstSequence, texts);
    }

    @Override
    public void finished(String generation, FinishReason reason, TokenUsage usage) {
        meter.finished();
        sink.finished(generation, reason, usage);
    }

    @Override
    public void interrupted(String detail, long delivered) {
        meter.interrupted();
        sink.interrupted(detail, delivered);
    }

    @Override
    public void refused(RefusalReason reason, String detail, long retryAfterMillis) {
        meter.notRun();
        sink.refused(reason, detail, retryAfterMillis);
    }

    @Override
    public void unknown(String detail) {
        meter.interrupted();
        sink.unknown(detail);
    }

    @Override
    public void abandoned() {
        meter.interrupted();
        sink.abandoned();
    }
}
