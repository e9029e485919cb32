package org.redwinghook.router.caller;

import java.util.List;
import java.util.function.LongConsumer;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.router.generation.GenerationSink;

/** Writes a generation to a caller as server-sent events. */
public final class StreamedCompletion implements GenerationSink {

    private final HttpServerResponse response;
    private final String model;
    private LongConsumer socketTook = sequence -> {};
    private long unreported;

    /**
     * Creates a writer.
     *
     * @param response the caller's response
     * @param model model that the caller named
     */
    public StreamedCompletion(HttpServerResponse response, String model) {
        this.response = response;
        this.model = model;
    }

    /**
     * Sets what is told when the socket took tokens.
     *
     * @param listener receives the last sequence number taken
     */
    public void onSocketTook(LongConsumer listener) {
        socketTook = listener;
    }

    @Override
    public void tokens(String generation, long firstSequence, List<String> texts) {
        begin();
        long sequence = firstSequence;
        for (String text : texts) {
            event(generation + "." + sequence, CompletionEvents.chunk(generation, model, text, null));
            sequence++;
        }
        reportTaken(sequence - 1);
    }

    @Override
    public void finished(String generation, FinishReason reason, TokenUsage usage) {
        begin();
        JsonObject last =
                CompletionEvents.chunk(generation, model, "", reason).put("usage", CompletionEvents.usage(usage));
        response.write("data: " + last.encode() + "\n\n");
        response.end("data: [DONE]\n\n");
    }

    @Override
    public void interrupted(String detail, long delivered) {
        JsonObject error = CallerErrors.body("interrupted", detail);
        error.getJsonObject("error").put("tokens_delivered", delivered);
        response.write("event: error\ndata: " + error.encode() + "\n\n");
        response.end();
    }

    @Override
    public void refused(RefusalReason reason, String detail, long retryAfterMillis) {
        CallerErrors.refuse(response, reason, detail, retryAfterMillis);
    }

    private void begin() {
        if (response.headWritten()) {
            return;
        }
        response.setChunked(true)
                .putHeader("content-type", "text/event-stream")
                .putHeader("cache-control", "no-cache")
                .putHeader(Outcome.HEADER, Outcome.DONE.headerValue());
    }

    private void event(String identifier, JsonObject data) {
        response.write("id: " + identifier + "\ndata: " + data.encode() + "\n\n");
    }

    private void reportTaken(long sequence) {
        unreported = sequence;
        if (!response.writeQueueFull()) {
            socketTook.accept(sequence);
            return;
        }
        response.drainHandler(ignored -> socketTook.accept(unreported));
    }
}
